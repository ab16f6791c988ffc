/** Handles generation requests. */
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
  RefusalError,
  createUnknownOutcome,
  type Outcome,
} from '../routing/outcome.js';
import { hashText64, hashText32 } from '../routing/text-hash.js';
import type { CallerContext } from './caller-context.js';
import { CompletionRequest } from './completion-request.js';
import {
  createStreamWriter,
  createWholeWriter,
  type CompletionWriter,
} from './completion-writer.js';
import { sendOutcome } from './outcome-response.js';
import { parseBody } from './request-body.js';
import {
  readQueueClass,
  readDeadlineMilliseconds,
  computeWeight,
  type QueueClass,
} from './request-scheduling.js';

/** A request that has been read and whose caller is known. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly account: AccountInForce;
  readonly body: string;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

/** A generation request that has been checked. */
interface CheckedCompletion {
  readonly body: CompletionRequest;
  readonly served: ServedModel;
  readonly seed: number;
  readonly resume: ResumeId | undefined;
  readonly queueClass: QueueClass;
}

const SEEDS = 0x80000000;
const UNKNOWN_RETRY_MILLISECONDS = 1000;

function checkReceived(body: CompletionRequest, resume: ResumeId | undefined): Outcome | undefined {
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

function checkCompletion(
  caller: CallerRequest,
  context: CallerContext,
): Either<Outcome, CheckedCompletion> {
  const { request, account, requestId } = caller;
  return parseBody(caller.body, CompletionRequest).chain((body) => {
    const inForce = context.configuration.servedModel(account.team, body.model);
    if (!inForce)
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
    const wrong = checkReceived(body, resume);
    if (wrong) return Left(wrong);
    // A resumed stream keeps the version that it began with.
    const served = resume
      ? { ...inForce, version: resume.version, adapter: resume.adapter }
      : inForce;
    const seed = resume?.seed ?? body.seed ?? hashText32(requestId) % SEEDS;
    return Right({
      body,
      served,
      seed,
      resume,
      queueClass: readQueueClass(request.headers, account),
    });
  });
}

/** Generates and writes; the caller's own earlier tokens are checked and left out. */
async function writeGeneration(
  caller: CallerRequest,
  checked: CheckedCompletion,
  writer: CompletionWriter,
  context: CallerContext,
  startBy: number,
): Promise<Outcome> {
  const { body, served, seed, resume, queueClass } = checked;
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
  let lastAt = performance.now();
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
    context.metrics.observe(measure, now - lastAt, tags);
    measure = 'token_gap';
    lastAt = now;
    if (resume && position === resume.position && checksum !== resume.checksum) {
      await tokens.return({ kind: 'finished', tokens: position });
      return createUnknownOutcome(
        'stream_broken',
        'The answer can not be continued; ask for it anew.',
      );
    }
    if (!resume || position > resume.position) {
      const { version, adapter } = served;
      await writer.token(
        next.value,
        formatResumeId({ position, checksum, seed, version, adapter }),
      );
    }
  }
}

async function runAdmitted(
  caller: CallerRequest,
  checked: CheckedCompletion,
  writer: CompletionWriter,
  context: CallerContext,
): Promise<Outcome> {
  const { account, requestId, signal, request } = caller;
  const { served, body, queueClass } = checked;
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
        return writeGeneration(caller, checked, writer, context, startBy);
      },
    );
  } catch (error) {
    if (error instanceof RefusalError) return error.refusal;
    throw error;
  }
}

function runKeyed(
  caller: CallerRequest,
  checked: CheckedCompletion,
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
  const { body } = checked;
  return context.atMostOnce.run({
    account: caller.account.id,
    key: parsed.unsafeCoerce(),
    contentHash: hashText64(JSON.stringify([body.model, body.prompt, body.max_tokens, body.seed])),
    run: async () => {
      const exceeded = await context.limiter.consumeOrRefuse(caller.account.id);
      return exceeded ?? runAdmitted(caller, checked, writer, context);
    },
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
 * Handles one generation request.
 *
 * @param caller - The request and who makes it.
 * @param context - What handlers share.
 * @returns The outcome, already sent.
 */
export async function handleCompletion(
  caller: CallerRequest,
  context: CallerContext,
): Promise<Outcome> {
  const { response, requestId, signal, request } = caller;
  const result = checkCompletion(caller, context);
  if (result.isLeft()) {
    const rejection = result.extract();
    sendOutcome(response, rejection);
    return rejection;
  }
  const checked = result.unsafeCoerce();
  const options = { response, requestId, model: checked.body.model, signal };
  const writer = checked.body.stream ? createStreamWriter(options) : createWholeWriter(options);
  const key = request.headers['idempotency-key']?.toString();
  const outcome =
    key === undefined
      ? await runAdmitted(caller, checked, writer, context)
      : await runKeyed(caller, checked, key, writer, context);
  if (outcome.kind !== 'completed') writer.fail(outcome);
  sendOutcome(response, outcome);
  return outcome;
}
