/**
 * Decides what the head of a response proves: that it is the server's own answer, that the request has not run, or
 * neither. Its origin is looked at first, what it says second. Handles faulty servers whose wrong bytes look like a
 * refusal of a request that they run, refusals of earlier requests, and other programs at a server's address.
 */
import type { ResponseMetadata } from '../entry/protocol-adapter.js';
import type { ServerStatements } from '../fleet/server-statements.js';

/** What a request was sent to. */
export interface SentRequest {
  readonly requestId: string;
  /** The only server that may run it. */
  readonly serverId: string;
  /** `host:port` of that server and of all engines of the chain. */
  readonly addresses: readonly string[];
}

/** The head of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly metadata: ResponseMetadata;
}

/** What a response proves. */
export type ResponseMeaning =
  /** The server's own answer to the request, which has run. */
  | {
      readonly kind: 'ownAnswer';
      readonly load: ResponseMetadata['load'];
      readonly statements: ServerStatements;
    }
  /** The request has not run and will not run there. */
  | {
      readonly kind: 'notRun';
      /** `host:port` of the engine at fault, where the response names one. */
      readonly faultAddress: string | undefined;
      readonly statements: ServerStatements;
    }
  /** Nothing: the request may have run, and the response is never passed on. */
  | { readonly kind: 'unproved'; readonly reason: string };

/** Another server than the named one got the request. */
const MISDIRECTED = 421;
/** The statuses with which a server may state that it has not run a request. */
const REFUSAL_STATUSES = new Set([400, MISDIRECTED, 429, 503]);
/** Statuses that promise a caller that the request has not run; an answer that doesn't prove it can't bear one. */
const PROMISING_STATUSES = new Set([408, MISDIRECTED, 429, 503]);

/**
 * Whether a response shows that a server of the fleet wrote it for this request: by the request's id, or by naming
 * itself. One that names the server that was asked, and nothing else, contradicts the status 421.
 */
function isIdentified(
  { requestId, serverId, addresses }: SentRequest,
  { requestId: answeredId, serverId: answererId, faultAddress }: ResponseMetadata,
): boolean {
  const isAnothers = answererId !== undefined && answererId !== serverId;
  const isOfChain = faultAddress !== undefined && addresses.includes(faultAddress);
  return answeredId === requestId || isAnothers || isOfChain;
}

function findObjection(
  { requestId }: SentRequest,
  { status, metadata }: ResponseHead,
): string | undefined {
  if (metadata.requestId === undefined) return 'The response carries no request id.';
  if (metadata.requestId !== requestId) return 'The response carries the id of another request.';
  if (!metadata.isSigned) return 'The response is not signed by the backend server.';
  if (metadata.isEncoded) return 'The response has a content encoding.';
  if (metadata.statesNotRun) return `A response with status ${status} states that nothing ran.`;
  if (PROMISING_STATUSES.has(status))
    return `A response with status ${status} doesn't state that nothing ran.`;
  return undefined;
}

/**
 * Decides what a response proves.
 *
 * @param sent - The request, as it was sent.
 * @param head - The response's head.
 * @returns The meaning; `unproved` wherever a proof is lacking.
 */
export function interpretResponse(sent: SentRequest, head: ResponseHead): ResponseMeaning {
  const { status, metadata } = head;
  const { faultAddress, load } = metadata;
  // A server that can't read a request refuses it without its id.
  const isForeign = metadata.requestId !== undefined && metadata.requestId !== sent.requestId;
  const isStated = metadata.statesNotRun && REFUSAL_STATUSES.has(status);
  const isMisdirected = status === MISDIRECTED && isIdentified(sent, metadata);
  if (!isForeign && (isStated || isMisdirected))
    return { kind: 'notRun', faultAddress, statements: metadata };
  const reason = findObjection(sent, head);
  if (reason !== undefined) return { kind: 'unproved', reason };
  return { kind: 'ownAnswer', load, statements: metadata };
}
