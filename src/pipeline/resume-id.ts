/**
 * The id of each event of a stream. With the request itself it is all that any instance needs to
 * go on after the event.
 */
import { Left, Right, type Either } from 'purify-ts';
import type { Issue } from '../common/issue.js';
import { hashText32 } from '../routing/text-hash.js';

/** What an event's id says. */
export interface ResumeId {
  /** The position of the event's token. */
  readonly position: number;
  /** A checksum over all tokens up to this one. */
  readonly checksum: number;
  readonly seed: number;
  readonly version: string;
  readonly adapter: string;
}

const PATTERN = /^(\d{1,9})\.([0-9a-f]{8})\.(\d{1,10})\.([^~]{1,300})~(.{0,300})$/;
const CHECKSUM_DIGITS = 8;

/**
 * Adds a token to a checksum.
 *
 * @param checksum - The checksum over the tokens before it; 0 at the start.
 * @param token - The token.
 * @returns The checksum over all of them.
 */
export function extendChecksum(checksum: number, token: string): number {
  return hashText32(token, checksum);
}

/**
 * Writes an id.
 *
 * @param id - What it says.
 * @returns The id as text without spaces.
 */
export function formatResumeId(id: ResumeId): string {
  const checksum = id.checksum.toString(16).padStart(CHECKSUM_DIGITS, '0');
  const held = `${encodeURIComponent(id.version)}~${encodeURIComponent(id.adapter)}`;
  return `${id.position}.${checksum}.${id.seed}.${held}`;
}

/**
 * Reads an id.
 *
 * @param text - The id as the caller sent it back.
 * @returns What it says, or the issue with it.
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
