/**
 * Handles generation requests: validates them, waits for admission and generates the tokens. Also
 * resumes interrupted streams, and replays outcomes for repeated idempotency keys.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import { safeParseKey } from '../claims/idempotency-key.js';
import type { ServedModel } from '../configuration/branch.js';
import type { AccountInForce } from '../configuration/configuration-in-force.js';
import { generate } from '../pipeline/generation.js';
import {
  extendChecksum,
  formatResumeId,
  safeParseResumeId,
  type ResumeId,
} from '../pipeline/resume-id.js';
import {
  createRejection,
  createUnknownOutcome,
  RefusalError,
  type Outcome,
} from '../routing/outcome.js';
import { hashText32, hashText64 } from '../routing/text-hash.js';
import type { CallerContext } from './caller-context.js';
import { CompletionRequest } from './completion-request.js';
import {
  createBufferedWriter,
  createStreamWriter,
  type CompletionWriter,
} from './completion-writer.js';
import { sendOutcome } from './outcome-response.js';
import { parseBody } from './request-body.js';
import {
  computeWeight,
  readDeadlineMilliseconds,
  readQueueClass,
  type QueueClass,
} from './request-scheduling.js';

/** A request whose body has been read and whose client account has been authenticated. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly account: AccountInForce;
  readonly body: string;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** A validated generation request. */
interface ValidCompletion {
  readonly body: CompletionRequest;
  /** The model, version and adapter to generate with. */
  readonly served: ServedModel;
  readonly seed: number;
  /** Where the caller resumes a stream, if it does. */
  readonly resume: ResumeId | undefined;
  readonly queueClass: QueueClass;
}

const SEED_COUNT = 0x80000000;
const UNKNOWN_RETRY_MILLISECONDS = 1000;

/** Returns a rejection if the received tokens do not match the event id of the resumed stream. */
function checkReceivedTokens(
  body: CompletionRequest,
  resume: ResumeId | undefined,
): Outcome | undefined {
  if (body.received.length === 0) return undefined;
  if (!resume) return createRejection('no_event_id', 400, 'Received tokens need a Last-Event-ID.');
  const checksum = body.received.reduce(extendChecksum, 0);
  if (body.received.length === resume.position + 1 && checksum === resume.checksum)
    return undefined;
  return createRejection(
    'wrong_received',
    400,
    'The received tokens do not fit the Last-Event-ID.',
  );
}

/** Validates a request; for a resumed stream it restores the seed, version and adapter. */
function validateCompletion(
  caller: CallerRequest,
  context: CallerContext,
): Either<Outcome, ValidCompletion> {
  const { request, account, requestId } = caller;
  return parseBody(caller.body, CompletionRequest).chain((body) => {
    const configured = context.configuration.findServedModel(account.team, body.model);
    if (!configured)
      return Left(createRejection('unknown_model', 404, `Model ${body.model} is not served.`));
    const eventId = request.headers['last-event-id']?.toString();
    const parsed = eventId === undefined ? undefined : safeParseResumeId(eventId);
    if (parsed?.isLeft()) {
      return Left(
        createRejection(
          'invalid_event_id',
          400,
          'The Last-Event-ID is not ours.',
          parsed.extract(),
        ),
      );
    }
    const resume = parsed?.unsafeCoerce();
    const rejection = checkReceivedTokens(body, resume);
    if (rejection) return Left(rejection);
    // A resumed stream keeps the version and adapter that it started with, because another version
    // would generate different tokens.
    const served = resume
      ? { ...configured, version: resume.version, adapter: resume.adapter }
      : configured;
    const seed = resume?.seed ?? body.seed ?? hashText32(requestId) % SEED_COUNT;
    return Right({
      body,
      served,
      seed,
      resume,
      queueClass: readQueueClass(request.headers, account),
    });
  });
}

/**
 * Generates the tokens and writes them. For a resumed stream, the tokens up to the caller's position
 * are not written again; if their checksum differs from the caller's, the stream ends with
 * `stream_broken`, because the caller would get the continuation of another text.
 */
async function writeGeneration(
  caller: CallerRequest,
  completion: ValidCompletion,
  writer: CompletionWriter,
  context: CallerContext,
  startBy: number,
): Promise<Outcome> {
  const { body, served, seed, resume, queueClass } = completion;
  const { account, requestId, signal } = caller;
  const tags = { account: account.id, class: queueClass };
  const tokens = generate(
    {
      requestId,
      model: served.model,
      version: served.version,
      adapter: served.adapter,
      fleets: served.fleets,
      prompt: body.prompt,
      seed,
      maximumTokens: body.max_tokens,
      priority: account.priority,
      producedTokens: body.received,
      startBy,
      signal,
    },
    context.generation,
  );
  let checksum = body.received.reduce(extendChecksum, 0);
  let previousTokenAt = performance.now();
  let measure: 'first_token' | 'token_gap' = 'first_token';
  for (let next = await tokens.next(); ; next = await tokens.next()) {
    if (next.done) {
      const end = next.value;
      if (end.kind === 'finished') return writer.finish();
      return end.kind === 'refused' ? end.refusal : end.outcome;
    }
    const { token, position } = next.value;
    checksum = extendChecksum(checksum, token);
    const now = performance.now();
    context.metrics.observe(measure, now - previousTokenAt, tags);
    measure = 'token_gap';
    previousTokenAt = now;
    if (resume && position === resume.position && checksum !== resume.checksum) {
      await tokens.return({ kind: 'finished', tokens: position });
      return createUnknownOutcome(
        'stream_broken',
        'The answer can not be continued; ask for it anew.',
      );
    }
    if (!resume || position > resume.position) {
      const { version, adapter } = served;
      await writer.writeToken(
        next.value,
        formatResumeId({ position, checksum, seed, version, adapter }),
      );
    }
  }
}

/** Waits in the model's admission queue, then generates; a refusal of the queue is an outcome. */
async function admitAndGenerate(
  caller: CallerRequest,
  completion: ValidCompletion,
  writer: CompletionWriter,
  context: CallerContext,
): Promise<Outcome> {
  const { account, requestId, signal, request } = caller;
  const { served, body, queueClass } = completion;
  const startBy = performance.now() + readDeadlineMilliseconds(request.headers, queueClass);
  const queuedAt = performance.now();
  try {
    return await context.admissions.queueFor(served).run(
      {
        id: requestId,
        account: account.id,
        weight: computeWeight(account, queueClass),
        cost: body.max_tokens,
        startBy,
        signal,
      },
      () => {
        const tags = { account: account.id, class: queueClass };
        context.metrics.observe('queue', performance.now() - queuedAt, tags);
        return writeGeneration(caller, completion, writer, context, startBy);
      },
    );
  } catch (error) {
    if (error instanceof RefusalError) return error.refusal;
    throw error;
  }
}

/** Runs a request with an idempotency key at most once, or replays the outcome of its first run. */
function runWithKey(
  caller: CallerRequest,
  completion: ValidCompletion,
  keyText: string,
  writer: CompletionWriter,
  context: CallerContext,
): Promise<Outcome> | Outcome {
  const parsed = safeParseKey(keyText, Date.now());
  if (parsed.isLeft())
    return createRejection(
      'invalid_key',
      400,
      'The idempotency key is malformed.',
      parsed.extract(),
    );
  const { body } = completion;
  return context.atMostOnce.run({
    account: caller.account.id,
    key: parsed.unsafeCoerce(),
    contentHash: hashText64(JSON.stringify([body.model, body.prompt, body.max_tokens, body.seed])),
    run: async () => {
      const exceeded = await context.limiter.consumeOrRefuse(caller.account.id);
      return exceeded ?? admitAndGenerate(caller, completion, writer, context);
    },
    // Generations are not forwarded; the caller has to send them to the issuer of the ticket.
    forwardToIssuer: () =>
      Promise.resolve(
        createUnknownOutcome(
          'issuer_unreachable',
          'Ask the instance that issued the ticket.',
          UNKNOWN_RETRY_MILLISECONDS,
        ),
      ),
  });
}

/**
 * Handles one generation request and sends the response.
 *
 * @returns The outcome, for logs and metrics; it has already been sent.
 */
export async function handleCompletion(
  caller: CallerRequest,
  context: CallerContext,
): Promise<Outcome> {
  const { response, requestId, signal, request } = caller;
  const result = validateCompletion(caller, context);
  if (result.isLeft()) {
    const rejection = result.extract();
    sendOutcome(response, rejection);
    return rejection;
  }
  const completion = result.unsafeCoerce();
  const options = { response, requestId, model: completion.body.model, signal };
  const writer = completion.body.stream
    ? createStreamWriter(options)
    : createBufferedWriter(options);
  const key = request.headers['idempotency-key']?.toString();
  const outcome =
    key === undefined
      ? await admitAndGenerate(caller, completion, writer, context)
      : await runWithKey(caller, completion, key, writer, context);
  if (outcome.kind !== 'completed') writer.fail(outcome);
  sendOutcome(response, outcome);
  return outcome;
}
