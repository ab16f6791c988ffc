/** Runs calls to plain services: admission, at most once where it must be, and dispatch. */
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
  /** Passes a call on to the instance that issued its ticket. */
  readonly forwardCall: (instance: string, call: ServiceCallMessage) => Promise<Outcome>;
  /** The refusal for an account that is over its limit. */
  readonly consumeOrRefuse: (account: string) => Promise<Outcome | undefined>;
  readonly weightOf: (account: string) => number;
  readonly maximumQueued: number;
  readonly wallMilliseconds?: () => number;
}

export class ServiceRunner {
  readonly #options: ServiceRunnerOptions;

  readonly #admissions = new Map<string, AdmissionQueue>();

  readonly #retryBudgets = new Map<string, RetryBudget>();

  #running = 0;

  constructor(options: ServiceRunnerOptions) {
    this.#options = options;
  }

  /** Calls in progress, those of peers included. */
  get running(): number {
    return this.#running;
  }

  /**
   * Runs a call.
   *
   * @param call - The call, from a caller or passed on by a peer.
   * @returns Its outcome.
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
    const {
      configuration,
      atMostOnce,
      forwardCall: passOn,
      wallMilliseconds = Date.now,
    } = this.#options;
    const service = configuration.service(call.team, call.service);
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
    const content = hashText64([call.service, call.method, call.path, call.body].join('\n'));
    return atMostOnce.run({
      account: call.account,
      key: parsed.unsafeCoerce(),
      contentHash: content,
      run: async () => {
        const exceeded = await this.#options.consumeOrRefuse(call.account);
        return exceeded ?? this.#runAdmitted(call, service);
      },
      forwardToIssuer: (instance) => passOn(instance, call),
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
      // Whoever called may leave; a call that may have effects is carried to its end.
      signal: new AbortController().signal,
    };
    try {
      return await this.#admissionTo(call.service).run(request, () =>
        dispatch({
          call,
          isIdempotent,
          directory,
          retryBudget: this.#retryBudgetOf(call.service),
          timeoutMilliseconds: service.timeoutMilliseconds,
        }),
      );
    } catch (error) {
      if (error instanceof RefusalError) return error.refusal;
      throw error;
    }
  }

  #admissionTo(service: string): AdmissionQueue {
    const known = this.#admissions.get(service);
    if (known) return known;
    const { directory, maximumQueued } = this.#options;
    const width = (): number =>
      directory.usableReplicas(service).reduce((sum, server) => sum + server.limit.value, 0);
    const admission = new AdmissionQueue({ maximumConcurrency: width, maximumQueued });
    this.#admissions.set(service, admission);
    return admission;
  }

  #retryBudgetOf(service: string): RetryBudget {
    const known = this.#retryBudgets.get(service) ?? new RetryBudget();
    this.#retryBudgets.set(service, known);
    return known;
  }
}
