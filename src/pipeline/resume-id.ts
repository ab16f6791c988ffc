/**
 * Formats and parses the ids of stream events. Together with the original request, the id of the
 * last received event contains everything that any instance needs to resume the stream after it.
 */
import { Left, Right, type Either } from 'purify-ts';
import type { Issue } from '../common/issue.js';
import { hashText32 } from '../routing/text-hash.js';

/** The contents of an event id. */
export interface ResumeId {
  /** The index of the event's token in the whole generation, from 0. */
  readonly position: number;
  /** The unsigned 32-bit checksum over all tokens up to and including this one. */
  readonly checksum: number;
  readonly seed: number;
  readonly version: string;
  readonly adapter: string;
}

/** Position, checksum, seed, then version and adapter, both URI-encoded and separated by `~`. */
const PATTERN = /^(\d{1,9})\.([0-9a-f]{8})\.(\d{1,10})\.([^~]{1,300})~(.{0,300})$/;
const CHECKSUM_DIGITS = 8;

/**
 * Extends a checksum by one token.
 *
 * @param checksum - The checksum over the preceding tokens; 0 before the first one.
 * @param token - The next token.
 * @returns The checksum over all tokens up to and including this one.
 */
export function extendChecksum(checksum: number, token: string): number {
  return hashText32(token, checksum);
}

/**
 * Formats an event id.
 *
 * @param id - The contents of the id.
 * @returns The id as text without spaces.
 */
export function formatResumeId(id: ResumeId): string {
  const checksum = id.checksum.toString(16).padStart(CHECKSUM_DIGITS, '0');
  const versionAndAdapter = `${encodeURIComponent(id.version)}~${encodeURIComponent(id.adapter)}`;
  return `${id.position}.${checksum}.${id.seed}.${versionAndAdapter}`;
}

/**
 * Parses an event id.
 *
 * @param text - The id as the caller sent it back.
 * @returns The contents of the id, or one issue if it is malformed.
 */
export function safeParseResumeId(text: string): Either<Issue[], ResumeId> {
  const match = PATTERN.exec(text);
  const issue = {
    code: 'invalid_event_id',
    path: ['last-event-id'],
    message: 'It is no event id of ours.',
  };
  if (!match) return Left([issue]);
  const [, position = '', checksum = '', seed = '', version = '', adapter = ''] = match;
  try {
    return Right({
      position: Number(position),
      checksum: Number.parseInt(checksum, 16),
      seed: Number(seed),
      version: decodeURIComponent(version),
      adapter: decodeURIComponent(adapter),
    });
  } catch {
    return Left([issue]);
  }
}
