/** Sends requests to instances for the commands. */
import { isIP } from 'node:net';
import { Left, Right, type Either } from 'purify-ts';
import type { Address } from '../common/address.js';
import { fetchResponse, getErrorMessage, type HttpResponse } from '../common/http-client.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** A failure that ends the command with an exit code. */
export class CommandError extends Error {
  readonly exitCode: ExitCode;

  constructor(message: string, exitCode: ExitCode) {
    super(message);
    this.name = 'CommandError';
    this.exitCode = exitCode;
  }
}

const TIMEOUT_MILLISECONDS = 15_000;
const ADDRESS_PATTERN = /^(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$/;

/**
 * Parses an address from the command line.
 *
 * @param text - `<IP address>:<port>`, with an IPv6 address in brackets.
 * @returns The address, or the message to show the user.
 */
export function parseAddress(text: string): Either<string, Address> {
  const match = ADDRESS_PATTERN.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  if (isIP(host) === 0 || !(port >= 1 && port <= 65_535)) {
    return Left(`"${text}" is not <IP number>:<port>.`);
  }
  return Right({ host, port });
}

/**
 * Sends a request to an instance and reads its response.
 *
 * @param address - The operator or caller address of the instance.
 * @param method - The HTTP method.
 * @param path - The path with its query.
 * @param options - Headers and body of the request.
 * @returns The response, whatever its status.
 * @throws CommandError with the exit code `unreachable` when no complete response arrives in time.
 */
export async function sendToInstance(
  address: Address,
  method: string,
  path: string,
  options: { readonly headers?: Record<string, string>; readonly body?: string } = {},
): Promise<HttpResponse> {
  try {
    return await fetchResponse({
      address,
      method,
      path,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      ...options,
    });
  } catch (error) {
    const addressText = `${address.host}:${address.port}`;
    throw new CommandError(
      `The instance at ${addressText} cannot be reached: ${getErrorMessage(error)}`,
      EXIT_CODES.unreachable,
    );
  }
}

/**
 * Sends a request to an instance and parses its JSON response.
 *
 * @param address - The operator or caller address of the instance.
 * @param method - The HTTP method.
 * @param path - The path with its query.
 * @param body - A value to send as JSON; no body by default.
 * @returns The parsed response.
 * @throws CommandError when the instance cannot be reached or responds with an error status. Status 504
 *   gives the exit code `unknown`, since the operation may have been carried out.
 */
export async function fetchJson(
  address: Address,
  method: string,
  path: string,
  body?: unknown,
): Promise<unknown> {
  const response = await sendToInstance(address, method, path, {
    headers: { 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const text = response.body.toString();
  if (response.status < 300) return JSON.parse(text) as unknown;
  const exitCode = response.status === 504 ? EXIT_CODES.unknown : EXIT_CODES.refused;
  throw new CommandError(`The instance answered ${response.status}: ${text}`, exitCode);
}
