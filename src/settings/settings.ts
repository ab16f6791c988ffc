/** Settings of one instance: JSON with comments, validated as a whole before the daemon starts. */
import { readFileSync } from 'node:fs';
import { parse, printParseErrorCode, type ParseError } from 'jsonc-parser';
import { Left, Right, type Either } from 'purify-ts';
import { z } from 'zod';
import { Address } from '../common/address.js';
import { getErrorMessage } from '../common/http-client.js';
import { IssueError, toIssues, type Issue } from '../common/issue.js';

const Name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'Lower-case letters, digits and dashes, at most 63.');

const createMillisecondsSchema = (minimum: number, maximum: number, defaultValue: number) =>
  z.number().int().min(minimum).max(maximum).default(defaultValue);

/** Time limits and intervals, all in milliseconds. */
const TimeLimits = z.strictObject({
  /** How long callers may cache the addresses that an instance gave them. */
  addressesKept: createMillisecondsSchema(100, 600_000, 5000),
  /** The longest a stop waits for requests in progress after the addresses have expired. */
  stop: createMillisecondsSchema(100, 3_600_000, 600_000),
  /** Interval between two exchanges with a peer. */
  peerExchange: createMillisecondsSchema(20, 60_000, 1000),
  /** Interval between two readings of a backend server's load. */
  loadReading: createMillisecondsSchema(20, 60_000, 1000),
  /** Interval between two readings of the instance list. */
  instanceList: createMillisecondsSchema(50, 600_000, 2000),
  /** Timeout of a call to the platform's object API. */
  platformCall: createMillisecondsSchema(50, 60_000, 1000),
  /** How long to try to obtain a claim before the caller's request is refused. */
  claim: createMillisecondsSchema(50, 60_000, 1500),
  /** Duration of a placement lease. */
  lease: createMillisecondsSchema(200, 600_000, 9000),
  /** Timeout of an order to an engine. */
  order: createMillisecondsSchema(50, 60_000, 2000),
  /** How long an engine may finish its requests before it is ordered to load other layers anyway. */
  reload: createMillisecondsSchema(0, 3_600_000, 60_000),
  /** The longest gap between two tokens before the engines of the chain are probed. */
  tokenSilence: createMillisecondsSchema(50, 600_000, 2000),
  /** Timeout for a caller to send a request's head and body. */
  callerRequest: createMillisecondsSchema(100, 600_000, 15_000),
});

/** Limits of sizes and of the number of requests held by one instance. */
const SizeLimits = z.strictObject({
  /** The largest body of a request. */
  bodyBytes: z
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(1024 * 1024),
  /** The largest head of a caller's request. */
  headerBytes: z
    .number()
    .int()
    .min(1024)
    .max(256 * 1024)
    .default(16 * 1024),
  /** The most requests that may wait in the queue of one model or plain service. */
  queuedRequests: z.number().int().min(1).max(1_000_000).default(4000),
  /** The most requests that callers may have open at once. */
  openRequests: z.number().int().min(1).max(1_000_000).default(10_000),
});

/** Settings of one instance of the daemon. */
export const Settings = z.strictObject({
  instance: Name,
  dataCentre: Name,
  region: Name,
  callerAddress: Address,
  operatorAddress: Address,
  peerAddress: Address,
  platform: z.strictObject({ objectApi: Address, instanceList: Address }),
  /** Peers to contact at the start; needed when the platform is down then. */
  seedPeers: z.array(Address).default([]),
  /** Where StatsD datagrams are sent; none are sent when it is absent. */
  metrics: Address.optional(),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
  /** Layer placement: whether this instance takes part, and how many engines may load at once. */
  placement: z
    .strictObject({
      enabled: z.boolean().default(true),
      concurrentLoads: z.number().int().min(1).max(1000).default(2),
    })
    .prefault({}),
  timeLimits: TimeLimits.prefault({}),
  sizeLimits: SizeLimits.prefault({}),
});
export type Settings = z.infer<typeof Settings>;
/** Settings as an operator writes them, before defaults are filled in. */
export type SettingsInput = z.input<typeof Settings>;

/**
 * Parses JSON with comments and trailing commas.
 *
 * @returns The value, or one issue for each syntax error.
 */
export function safeParseJsonWithComments(text: string): Either<Issue[], unknown> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length === 0) return Right(value);
  return Left(
    errors.map((error) => {
      const lineNumber = text.slice(0, error.offset).split('\n').length;
      const message = `${printParseErrorCode(error.error)} at line ${lineNumber}.`;
      return { code: 'syntax', path: [], message };
    }),
  );
}

/**
 * Parses and validates settings without throwing.
 *
 * @param text - JSON with comments.
 * @returns The settings with defaults filled in, or every issue found.
 */
export function safeParseSettings(text: string): Either<Issue[], Settings> {
  return safeParseJsonWithComments(text).chain((value) => {
    const result = Settings.safeParse(value);
    return result.success ? Right(result.data) : Left(toIssues(result.error));
  });
}

/**
 * Parses and validates settings.
 *
 * @param text - JSON with comments.
 * @returns The settings with defaults filled in.
 * @throws IssueError with every issue found.
 */
export function parseSettings(text: string): Settings {
  return safeParseSettings(text)
    .mapLeft((issues) => new IssueError(issues))
    .unsafeCoerce();
}

/**
 * Reads and validates a settings file.
 *
 * @returns The settings, or every issue found; a file that cannot be read gives an issue with the code
 *   `unreadable`.
 */
export function readSettingsFile(path: string): Either<Issue[], Settings> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return Left([{ code: 'unreadable', path: [], message: getErrorMessage(error) }]);
  }
  return safeParseSettings(text);
}
