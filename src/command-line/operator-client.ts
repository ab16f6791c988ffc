/** Calls an instance's operator interface. */
import { isIP } from 'node:net';
import { Left, Right, type Either } from 'purify-ts';
import type { Address } from '../common/address.js';
import { fetchResponse, getErrorMessage, type HttpResponse } from '../common/http-client.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** A call that failed, with the exit code that fits. */
export class CommandError extends Error {
  readonly exitCode: ExitCode;

  constructor(message: string, exitCode: ExitCode) {
    super(message);
    this.name = 'CommandError';
    this.exitCode = exitCode;
  }
}

const TIMEOUT_MILLISECONDS = 15_000;
const ADDRESS = /^(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$/;

/**
 * Reads an address from the command line.
 *
 * @param text - `<IP number>:<port>`.
 * @returns The address, or what is wrong with it.
 */
export function parseAddress(text: string): Either<string, Address> {
  const match = ADDRESS.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  if (isIP(host) === 0 || !(port >= 1 && port <= 65_535)) {
    return Left(`"${text}" is not <IP number>:<port>.`);
  }
  return Right({ host, port });
}

/**
 * Calls an instance.
 *
 * @param address - Where it listens.
 * @param method - The HTTP method.
 * @param path - The path.
 * @param options - Headers and body.
 * @returns The answer, of whatever status.
 * @throws CommandError when the instance can't be reached.
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
    const where = `${address.host}:${address.port}`;
    throw new CommandError(
      `The instance at ${where} can not be reached: ${getErrorMessage(error)}`,
      EXIT_CODES.unreachable,
    );
  }
}

/**
 * Calls an instance and parses its JSON answer.
 *
 * @param address - Where it listens.
 * @param method - The HTTP method.
 * @param path - The path.
 * @param body - The JSON body to send, if any.
 * @returns The answer's value.
 * @throws CommandError when the instance can't be reached or refuses.
 */
export async function fetchJson(
  address: Address,
  method: string,
  path: string,
  body?: unknown,
): Promise<unknown> {
  const answer = await sendToInstance(address, method, path, {
    headers: { 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const text = answer.body.toString();
  if (answer.status < 300) return JSON.parse(text) as unknown;
  const exitCode = answer.status === 504 ? EXIT_CODES.unknown : EXIT_CODES.refused;
  throw new CommandError(`The instance answered ${answer.status}: ${text}`, exitCode);
}
