/** The daemon's settings: JSON with comments, checked whole before anything starts. */
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

const milliseconds = (minimum: number, maximum: number, byDefault: number) =>
  z.number().int().min(minimum).max(maximum).default(byDefault);

/** Time limits, all in milliseconds. */
const TimeLimits = z.strictObject({
  /** How long callers may keep an answer to "which address?". */
  addressesKept: milliseconds(100, 600_000, 5000),
  /** The longest a stop waits for requests in progress after the addresses have expired. */
  stop: milliseconds(100, 3_600_000, 600_000),
  /** Between two exchanges with a peer. */
  peerExchange: milliseconds(20, 60_000, 1000),
  /** Between two readings of a backend server's load. */
  loadReading: milliseconds(20, 60_000, 1000),
  /** Between two readings of the instance list. */
  instanceList: milliseconds(50, 600_000, 2000),
  /** A call to the platform's object API. */
  platformCall: milliseconds(50, 60_000, 1000),
  /** How long a claim is sought before the caller is told that it could not be had. */
  claim: milliseconds(50, 60_000, 1500),
  /** A placement lease. */
  lease: milliseconds(200, 600_000, 9000),
  /** An order to an engine. */
  order: milliseconds(50, 60_000, 2000),
  /** How long an engine may finish its requests before it is ordered to load all the same. */
  reload: milliseconds(0, 3_600_000, 60_000),
  /** The longest silence between two tokens before the stages are probed. */
  tokenSilence: milliseconds(50, 600_000, 2000),
  /** A caller's connection that sends a request's head or body too slowly. */
  callerRequest: milliseconds(100, 600_000, 15_000),
});

/** Size limits. */
const SizeLimits = z.strictObject({
  bodyBytes: z
    .number()
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(1024 * 1024),
  headerBytes: z
    .number()
    .int()
    .min(1024)
    .max(256 * 1024)
    .default(16 * 1024),
  queuedRequests: z.number().int().min(1).max(1_000_000).default(4000),
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
  /** Peers to ask first, for when the platform is down at the start. */
  seedPeers: z.array(Address).default([]),
  /** Where StatsD datagrams go; none are sent without it. */
  metrics: Address.optional(),
  logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
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
 * Parses JSON with comments.
 *
 * @param text - The text.
 * @returns The value, or one issue for each syntax error.
 */
export function safeParseJsonWithComments(text: string): Either<Issue[], unknown> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length === 0) return Right(value);
  return Left(
    errors.map((error) => {
      const line = text.slice(0, error.offset).split('\n').length;
      const message = `${printParseErrorCode(error.error)} at line ${line}.`;
      return { code: 'syntax', path: [], message };
    }),
  );
}

/**
 * Parses and checks settings.
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
 * Parses and checks settings.
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
 * Reads and checks a settings file.
 *
 * @param path - The file.
 * @returns The settings, or every issue found; a file that can't be read is an issue too.
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
