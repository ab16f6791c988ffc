/**
 * One exchange with the first engine of a chain: relays the events of a stream to the caller, and tells
 * what a failure means for further attempts.
 */
import type { IncomingMessage } from 'node:http';
import {
  HttpRequestError,
  getErrorMessage,
  isConnectionLost,
  isConnectionRefused,
} from '../common/http-client.js';
import type { AnswerDelimiter } from '../evidence/answer-end.js';
import { assertWhole, assertWholeFromPeer, UnprovedAnswerError } from '../evidence/whole-answer.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { recordRefusal } from '../fleet/server-availability.js';
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import { readAnswer, readChunks } from './backend-request.js';
import type { CallerStream } from './caller-stream.js';
import { listStageAddresses, type EngineChain } from './chain-selector.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { appendHeaders, getEndToEndHeaders } from '../entry/entry-response.js';
import { EventSplitter } from './event-splitter.js';
import type { HeldMemory } from '../memory/held-memory.js';
import { PeekableChunks } from './peekable-chunks.js';
import { sendRelayedRequest } from './relay-request.js';
import { ForeignResponseError } from '../evidence/response-origin.js';
import { WritingTime } from './writing-time.js';

/** The result of one attempt. */
export type AttemptResult =
  | { readonly kind: 'completed' }
  /** The engine responded with an error status, which was relayed to the caller. */
  | { readonly kind: 'answered'; readonly status: number }
  /** An engine refused the request or the first one could not be connected to; it did not run. */
  | {
      readonly kind: 'notRun';
      readonly engineIdsToAvoid: readonly string[];
      readonly message: string;
    }
  /** The stream failed; the request may have run. */
  | {
      readonly kind: 'broken';
      readonly engineIdsToAvoid: readonly string[];
      readonly message: string;
    };

/** A response whose engine has accepted the request. */
export interface AcceptedStream {
  readonly kind: 'accepted';
  readonly message: IncomingMessage;
  readonly status: number;
  readonly chunks: PeekableChunks;
}

/** The stream that an exchange relays, as far as the exchange reports on it. */
export interface RelayedStream {
  readonly chain: readonly FleetServer[];
  isCallerBlocked: boolean;
  hasEvents: boolean;
  /** Notes that a piece of the stream arrived or was read by the caller. */
  recordProgress(): void;
  /** Notes that the attempt's first event has passed its engines. */
  recordFirstEvent(): void;
}

/** Options of {@link StreamExchange}. */
export interface StreamExchangeOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  readonly caller: CallerStream;
}

/** Returns the media type of a content type, without its parameters; empty if there is none. */
function parseMediaType(contentType: number | string | readonly string[] | undefined): string {
  const [mediaType = ''] = String(contentType ?? '').split(';');
  return mediaType.trim().toLowerCase();
}

export class StreamExchange {
  readonly #options: StreamExchangeOptions;

  readonly #writingTime: WritingTime;

  constructor(options: StreamExchangeOptions) {
    this.#options = options;
    const { context, request } = options;
    this.#writingTime = new WritingTime({
      onWritten: (beganAt) => context.crashBlame.recordWritten(request.content, beganAt),
    });
  }

  /**
   * Whether engines are not ended by beginning the answer, see {@link WritingTime}.
   *
   * @param processKey - The process of the engine that may have ended.
   */
  wasWrittenAt(processKey: string): boolean {
    return this.#writingTime.wasWrittenAt(processKey);
  }

  /**
   * Records the engine at which the stream stalled or broke off, which may have ended under the request.
   * Of several engines of one chain it is one: a request ends engines one after the other.
   */
  recordStall(entry: ServerEntry): void {
    const { fleet, crashBlame } = this.#options.context;
    const processKey = getProcessKey(entry);
    const { content } = this.#options.request;
    const wasWritten = this.wasWrittenAt(processKey);
    crashBlame.recordFailure({ content, wasWritten }, processKey);
    if (fleet.hasEnded(processKey)) crashBlame.recordEndedServer(processKey);
  }

  /** Finds out what a failed exchange with the first engine means for further attempts. */
  classifyError(
    firstEngine: ServerEntry,
    error: unknown,
  ): Extract<AttemptResult, { kind: 'notRun' | 'broken' }> {
    const { outlierEjection, endCheck } = this.#options.context;
    const engineIdsToAvoid = [firstEngine.id];
    const message = getErrorMessage(error);
    if (this.#options.request.signal.aborted)
      return { kind: 'broken', engineIdsToAvoid: [], message };
    if (error instanceof HttpRequestError && error.phase === 'connecting') {
      if (isConnectionRefused(error)) void endCheck.recordRefusal(firstEngine, message);
      outlierEjection.eject(firstEngine.id, message);
      return { kind: 'notRun', engineIdsToAvoid, message };
    }
    // A live engine may break off an answer too; whether this one has ended is looked at next.
    if (isConnectionLost(error) || error instanceof UnprovedAnswerError)
      this.recordStall(firstEngine);
    return { kind: 'broken', engineIdsToAvoid, message };
  }

  /**
   * Sends the request to the chain's first engine and waits for the head of its response.
   *
   * @throws Error when the response fails or is not the engine's own.
   */
  async open(
    chain: EngineChain,
    firstEngine: FleetServer,
    signal: AbortSignal,
  ): Promise<AcceptedStream | Extract<AttemptResult, { kind: 'notRun' }>> {
    const { fleet } = this.#options.context;
    const { message, status, meaning } = await sendRelayedRequest(
      this.#options.context,
      this.#options.request,
      {
        server: firstEngine.entry,
        chain: listStageAddresses(chain),
        lastEventId: this.#options.caller.lastEventId,
        signal,
      },
    );
    if (meaning.kind === 'notRun') {
      const refusingServer =
        meaning.faultAddress === undefined
          ? firstEngine
          : fleet.findByAddress(meaning.faultAddress);
      const id = refusingServer?.entry.id ?? firstEngine.entry.id;
      if (refusingServer && status === 503) recordRefusal(refusingServer, performance.now());
      return {
        kind: 'notRun',
        engineIdsToAvoid: [id],
        message: `The engine refused the request with status ${status}.`,
      };
    }
    if (meaning.kind === 'unproved') throw new ForeignResponseError(meaning.reason);
    if (status < 300) this.#assertContinues(message, status);
    return { kind: 'accepted', message, status, chunks: new PeekableChunks(readChunks(message)) };
  }

  /**
   * Relays the events of an accepted stream to the caller.
   *
   * @throws Error when the response fails or is incomplete.
   */
  async relay(
    { message: engineResponse, status, chunks }: AcceptedStream,
    firstEngine: FleetServer,
    stream: RelayedStream,
  ): Promise<AttemptResult> {
    const { outlierEjection, crashBlame } = this.#options.context;
    const { content } = this.#options.request;
    if (status >= 300)
      return this.#relayFailure(engineResponse, status, () =>
        this.#assertWhole(engineResponse, firstEngine.entry),
      );
    const splitter = new EventSplitter(this.#options.caller.lastEventId);
    const held = this.#holdEvents(engineResponse);
    this.#writingTime.startAttempt();
    for await (const chunk of this.#watchEnd(chunks, getProcessKey(firstEngine.entry))) {
      const events = splitter.push(chunk);
      held.resize(splitter.partialBytes);
      stream.recordProgress();
      // A piece of the stream has passed all its engines.
      stream.chain.forEach(({ entry }) => outlierEjection.recordLife(entry.id));
      if (events.bytes.length > 0) {
        if (!this.#writingTime.hasBegun) stream.recordFirstEvent();
        const arrivedAt = performance.now();
        this.#writingTime.recordEvents(chunks.beganAt ?? arrivedAt, arrivedAt);
        stream.hasEvents = true;
        this.#startResponse(engineResponse, status);
        stream.isCallerBlocked = true;
        await this.#options.caller.write(events.bytes, events.lastEventId);
        stream.isCallerBlocked = false;
        this.#writingTime.recordBlocked(performance.now() - arrivedAt);
        stream.recordProgress();
      }
    }
    const delimiter = await this.#assertWhole(engineResponse, firstEngine.entry);
    this.#assertEndsWithEvent(splitter, delimiter, firstEngine.entry);
    this.#startResponse(engineResponse, status);
    outlierEjection.recordSuccess(firstEngine.entry.id);
    this.#writingTime.recordCompletion();
    crashBlame.recordCompletion(content);
    return { kind: 'completed' };
  }

  /**
   * Relays an answer that a peer got for the request.
   *
   * @throws Error when the peer's response is incomplete.
   */
  async relayFromPeer(peerResponse: IncomingMessage, status: number): Promise<AttemptResult> {
    const answer = { message: peerResponse, method: this.#method };
    if (status >= 300)
      return this.#relayFailure(peerResponse, status, () => assertWholeFromPeer(answer));
    this.#assertContinues(peerResponse, status);
    const { caller } = this.#options;
    const splitter = new EventSplitter(caller.lastEventId);
    const held = this.#holdEvents(peerResponse);
    for await (const chunk of readChunks(peerResponse)) {
      const events = splitter.push(chunk);
      held.resize(splitter.partialBytes);
      if (events.bytes.length > 0) {
        this.#startResponse(peerResponse, status);
        await caller.write(events.bytes, events.lastEventId);
      }
    }
    assertWholeFromPeer(answer);
    if (!splitter.isBetweenEvents)
      throw new HttpRequestError('answering', 'The peer broke the event stream off.');
    this.#startResponse(peerResponse, status);
    return { kind: 'completed' };
  }

  /**
   * Checks that a response with which a begun stream goes on is of the kind that it began with: the text of
   * an error may look like an event, and an empty text like the end of the stream.
   *
   * @throws ForeignResponseError when its status or its media type is another one.
   */
  #assertContinues({ headers }: IncomingMessage, status: number): void {
    const { caller, request } = this.#options;
    if (!caller.hasStarted) return;
    const { response } = request;
    const began = parseMediaType(response.getHeader('content-type'));
    const mediaType = parseMediaType(headers['content-type']);
    if (status !== response.statusCode || mediaType !== began)
      throw new ForeignResponseError(
        `The stream can't go on with a response of status ${status} and media type "${mediaType}".`,
      );
  }

  /** Counts what is kept of events that are not complete, until the response that brings them closes. */
  #holdEvents(message: IncomingMessage): HeldMemory {
    const held = this.#options.request.memory.hold('event', (error) => message.destroy(error));
    message.once('close', () => held.release());
    return held;
  }

  get #method(): string {
    return this.#options.request.incoming.method ?? 'GET';
  }

  /** @throws UnprovedAnswerError when nothing shows that the engine's answer is whole. */
  #assertWhole(message: IncomingMessage, entry: ServerEntry): Promise<AnswerDelimiter> {
    const { context, request } = this.#options;
    const { endCheck } = context;
    return assertWhole(
      { message, method: this.#method },
      { endCheck, entry, signal: request.signal },
    );
  }

  /**
   * Checks that a stream that has ended did so after an event.
   *
   * @throws Error when it ended inside one, or without a length or chunks before the first.
   */
  #assertEndsWithEvent(
    splitter: EventSplitter,
    delimiter: AnswerDelimiter,
    engine: ServerEntry,
  ): void {
    if (splitter.isBetweenEvents) {
      const isEmpty = delimiter === 'connection' && !this.#options.caller.hasStarted;
      if (isEmpty) throw new Error('The event stream has no event.');
      return;
    }
    const { fleet } = this.#options.context;
    if (fleet.hasEnded(getProcessKey(engine))) this.recordStall(engine);
    throw new Error('The event stream ended inside an event.');
  }

  /** Passes a stream's pieces on, and notes when its connection ended; one that is cancelled here did not end. */
  async *#watchEnd(chunks: AsyncIterable<Buffer>, processKey: string): AsyncGenerator<Buffer> {
    try {
      yield* chunks;
      this.#writingTime.recordConnectionEnd(processKey, performance.now());
    } catch (error) {
      if (isConnectionLost(error))
        this.#writingTime.recordConnectionEnd(processKey, performance.now());
      throw error;
    }
  }

  /**
   * Relays an engine's error response to the caller.
   *
   * @throws Error when the response is not whole or events were already sent to the caller.
   */
  async #relayFailure(
    engineResponse: IncomingMessage,
    status: number,
    assertIsWhole: () => Promise<unknown> | void,
  ): Promise<AttemptResult> {
    const body = await readAnswer(engineResponse, this.#options.request.memory);
    await assertIsWhole();
    if (this.#options.caller.hasStarted)
      throw new Error(`The engine failed with status ${status}.`);
    const { response } = this.#options.request;
    appendHeaders(response, getEndToEndHeaders(engineResponse));
    response.statusCode = status;
    response.end(body);
    return { kind: 'answered', status };
  }

  #startResponse(engineResponse: IncomingMessage, status: number): void {
    if (this.#options.caller.hasStarted) return;
    this.#options.context.refusalPacing.recordAccepted();
    this.#options.caller.start(getEndToEndHeaders(engineResponse), status);
  }
}
