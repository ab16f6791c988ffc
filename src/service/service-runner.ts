/**
 * Runs calls to plain services: admits them through one queue per service, runs calls with an
 * idempotency key at most once, and dispatches them to replicas.
 */
import { safeParseKey } from '../claims/idempotency-key.js';
import type { BackendDirectory } from '../backend/directory.js';
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { PlainService } from '../configuration/branch.js';
import type { ServiceCallMessage } from '../peer/messages.js';
import { AdmissionQueue } from '../routing/admission-queue.js';
import { createRejection, RefusalError, type Outcome } from '../routing/outcome.js';
import { hashText64 } from '../routing/text-hash.js';
import { RetryBudget } from '../routing/retry-budget.js';
import type { AtMostOnceRunner } from './at-most-once.js';
import { dispatch } from './dispatch.js';

/** Options of {@link ServiceRunner}. */
export interface ServiceRunnerOptions {
  readonly configuration: ConfigurationInForce;
  readonly directory: BackendDirectory;
  readonly atMostOnce: AtMostOnceRunner;
  /** Forwards a call to the instance that issued its ticket. */
  readonly forwardCall: (instance: string, call: ServiceCallMessage) => Promise<Outcome>;
  /** Consumes one token of an account's limit; returns the refusal if the account is over it. */
  readonly consumeOrRefuse: (account: string) => Promise<Outcome | undefined>;
  /** Returns an account's share of the queue relative to other accounts; larger gets more. */
  readonly weightOf: (account: string) => number;
  /** The largest number of waiting calls per service. */
  readonly maximumQueued: number;
  readonly wallMilliseconds?: () => number;
}

export class ServiceRunner {
  readonly #options: ServiceRunnerOptions;

  readonly #admissionQueues = new Map<string, AdmissionQueue>();

  readonly #retryBudgets = new Map<string, RetryBudget>();

  #running = 0;

  constructor(options: ServiceRunnerOptions) {
    this.#options = options;
  }

  /** The number of calls in progress, including calls forwarded by peers. */
  get running(): number {
    return this.#running;
  }

  /**
   * Runs a call.
   *
   * @param call - The call, from a caller or forwarded by a peer.
   * @returns The outcome of the call; failures are outcomes too.
   */
  async run(call: ServiceCallMessage): Promise<Outcome> {
    this.#running += 1;
    try {
      return await this.#run(call);
    } finally {
      this.#running -= 1;
    }
  }

  async #run(call: ServiceCallMessage): Promise<Outcome> {
    const { configuration, atMostOnce, forwardCall, wallMilliseconds = Date.now } = this.#options;
    const service = configuration.findService(call.team, call.service);
    if (!service)
      return createRejection('unknown_service', 404, `Service ${call.service} is not known.`);
    if (call.key === '') return this.#runAdmitted(call, service);
    const parsed = safeParseKey(call.key, wallMilliseconds());
    if (parsed.isLeft()) {
      return createRejection(
        'invalid_key',
        400,
        'The idempotency key is malformed.',
        parsed.extract(),
      );
    }
    const contentHash = hashText64([call.service, call.method, call.path, call.body].join('\n'));
    return atMostOnce.run({
      account: call.account,
      key: parsed.unsafeCoerce(),
      contentHash,
      run: async () => {
        const refusal = await this.#options.consumeOrRefuse(call.account);
        return refusal ?? this.#runAdmitted(call, service);
      },
      forwardToIssuer: (instance) => forwardCall(instance, call),
    });
  }

  async #runAdmitted(call: ServiceCallMessage, service: PlainService): Promise<Outcome> {
    const { directory, weightOf } = this.#options;
    const isIdempotent =
      call.key === '' && service.idempotentMethods.some((method) => method === call.method);
    const request = {
      id: call.requestId,
      account: call.account,
      weight: weightOf(call.account),
      cost: 1,
      startBy: performance.now() + call.deadlineMilliseconds,
      // Never aborted: a call that may have effects is completed even if its caller disconnects.
      signal: new AbortController().signal,
    };
    try {
      return await this.#getAdmissionQueue(call.service).run(request, () =>
        dispatch({
          call,
          isIdempotent,
          directory,
          retryBudget: this.#getRetryBudget(call.service),
          timeoutMilliseconds: service.timeoutMilliseconds,
        }),
      );
    } catch (error) {
      if (error instanceof RefusalError) return error.refusal;
      throw error;
    }
  }

  #getAdmissionQueue(service: string): AdmissionQueue {
    const existing = this.#admissionQueues.get(service);
    if (existing) return existing;
    const { directory, maximumQueued } = this.#options;
    const sumServerLimits = (): number =>
      directory.findUsableReplicas(service).reduce((sum, server) => sum + server.limit.value, 0);
    const queue = new AdmissionQueue({ maximumConcurrency: sumServerLimits, maximumQueued });
    this.#admissionQueues.set(service, queue);
    return queue;
  }

  #getRetryBudget(service: string): RetryBudget {
    const budget = this.#retryBudgets.get(service) ?? new RetryBudget();
    this.#retryBudgets.set(service, budget);
    return budget;
  }
}
