/**
 * Admits or refuses new requests, once the chain or server that they would get is chosen and before anything is
 * reserved or sent for them. Each instance decides by itself, from its own requests and what peers report. Requests
 * that resume a stream, and those that a peer passes on, are not refused here.
 */
import type { EntryRequest } from '../entry/entry-request.js';
import type { EntryMetrics } from '../entry/entry-metrics.js';
import { spreadRetryAfterSeconds, type RefusalPacing } from '../entry/refusal-pacing.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { CallTimes } from '../fleet/call-times.js';
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import { getAvailability } from '../fleet/server-availability.js';
import type { Chain } from '../layers/chain-choice.js';
import type { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import type { RequestTokens } from '../layers/engine-estimates.js';
import type { LoggerFactory } from '../telemetry/log.js';
import type { AccountKey, AccountShare, AccountShares } from './account-shares.js';
import {
  decideOnAdmission,
  isExpectedInTime,
  type AdmissionDecision,
  type RefusalCode,
} from './admission-decision.js';
import {
  computeChainPressure,
  computeServerPressure,
  computeSlotUse,
  computeTakenPlaces,
  type EnginePlaces,
  type Pressure,
  type ServerPlaces,
} from './pressure.js';
import { getPriority, type PriorityClass, type PriorityClasses } from './priority-classes.js';

/** The parts of a request that decide on its admission. */
export type AdmissionRequest = Pick<
  EntryRequest,
  'account' | 'route' | 'service' | 'metadata' | 'relayed' | 'deadline' | 'response'
>;

/** How a request that is not admitted is refused. */
export interface AdmissionRefusal {
  readonly code: RefusalCode;
  readonly retryAfterSeconds: number;
}

/** A streaming request and the chain that was chosen for it. */
export interface StreamAdmission {
  readonly request: AdmissionRequest;
  readonly chain: Chain;
  readonly profile: EngineProfile;
  readonly tokens: RequestTokens;
}

/** A call and the servers that may serve it. */
export interface CallAdmission {
  readonly request: AdmissionRequest;
  /** The server that was chosen. */
  readonly server: FleetServer;
  /** All servers that could have been chosen. */
  readonly servers: readonly FleetServer[];
}

/** Options of {@link AdmissionControl}. */
export interface AdmissionControlOptions {
  readonly classes: Pick<PriorityClasses, 'find'>;
  readonly accountShares: AccountShares;
  readonly fleet: Pick<BackendFleet, 'listForService'>;
  readonly outlierEjection: Pick<OutlierEjection, 'isEjected'>;
  readonly callTimes: Pick<CallTimes, 'expectedMilliseconds' | 'reportedLoad'>;
  readonly linkLoad: Pick<DataCentreLinkLoad, 'estimateUtilisation'>;
  readonly refusalPacing: RefusalPacing;
  readonly metrics: Pick<EntryMetrics, 'countEvent'>;
  readonly logs: LoggerFactory;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now?: () => number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random?: () => number;
}

interface DecisionInputs {
  readonly request: AdmissionRequest;
  readonly priorityClass: PriorityClass;
  readonly pressure: Pressure;
  readonly computeTakenPlaces: () => number;
}

/** `Retry-After` of the most urgent class, before it is spread; the same as for calls that servers refuse. */
const CALL_RETRY_AFTER_SECONDS = 0.3;

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(1000 * value) / 1000;
}

function toAccountKey(request: AdmissionRequest, account: string): AccountKey {
  return { service: request.service.name, priority: getPriority(request), account };
}

function isExempt({ relayed, metadata }: AdmissionRequest): boolean {
  return relayed !== undefined || metadata.lastEventId !== undefined;
}

export class AdmissionControl {
  readonly #options: AdmissionControlOptions;

  readonly #now: () => number;

  readonly #random: () => number;

  constructor(options: AdmissionControlOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#random = options.random ?? Math.random;
  }

  /** Returns the class of a request among those of its service; 0 for the most urgent one. */
  findClassIndex(request: Pick<EntryRequest, 'account' | 'route' | 'service'>): number {
    return this.#options.classes.find(request).index;
  }

  /**
   * Decides on a streaming request; one that is admitted counts for its client account until its response ends.
   *
   * @param admission - The request and its chain.
   * @returns How it is refused; undefined if it is admitted.
   */
  admitStream({ request, chain, profile, tokens }: StreamAdmission): AdmissionRefusal | undefined {
    const { classes, linkLoad, refusalPacing } = this.#options;
    const priorityClass = classes.find(request);
    if (priorityClass.count < 2) return undefined;
    if (!isExempt(request)) {
      const chainRequest = {
        profile,
        tokens,
        linkUtilisation: (from: string, to: string) => linkLoad.estimateUtilisation(from, to),
      };
      const { gapTargetMilliseconds } = request.route;
      const decision = this.#decide({
        request,
        priorityClass,
        pressure: computeChainPressure(chain, chainRequest, gapTargetMilliseconds),
        computeTakenPlaces: () =>
          computeTakenPlaces(chain, this.#listEngines(request.service.name), profile),
      });
      if (decision.kind === 'refuse') {
        refusalPacing.recordRefused(priorityClass.index);
        const retryAfterSeconds = refusalPacing.chooseRetryAfterSeconds(priorityClass.index);
        return { code: decision.code, retryAfterSeconds };
      }
    }
    this.#countForAccount(request);
    return undefined;
  }

  /**
   * Decides on a call to a plain service; one that is admitted counts for its client account until its response ends.
   *
   * @param admission - The call and the servers.
   * @returns How it is refused; undefined if it is admitted.
   */
  admitCall({ request, server, servers }: CallAdmission): AdmissionRefusal | undefined {
    const priorityClass = this.#options.classes.find(request);
    const refusal = isExempt(request)
      ? undefined
      : (this.#refuseLate(request, priorityClass, servers) ??
        this.#refuseUnderPressure(request, priorityClass, server, servers));
    if (!refusal && priorityClass.count > 1) this.#countForAccount(request);
    return refusal;
  }

  #refuseLate(
    request: AdmissionRequest,
    priorityClass: PriorityClass,
    servers: readonly FleetServer[],
  ): AdmissionRefusal | undefined {
    const { callTimes, metrics, logs } = this.#options;
    const places = servers.map((server) => this.#getPlaces(server));
    const inputs = {
      priorityClass,
      expectedMilliseconds: Math.min(
        ...servers.map(({ entry }) => callTimes.expectedMilliseconds(entry.id)),
      ),
      timeLeftMilliseconds: request.deadline - this.#now(),
      takenPlaces: computeSlotUse(places),
      areAllFull: places.every(({ slots, runningRequests }) => runningRequests >= slots),
    };
    if (isExpectedInTime(inputs)) return undefined;
    const code = 'not_in_time';
    logs('routing').info('Call refused: not expected within its deadline.', {
      requestId: request.metadata.requestId,
      class: priorityClass.index,
      classes: priorityClass.count,
      expectedMilliseconds: Math.round(inputs.expectedMilliseconds),
      timeLeftMilliseconds: Math.round(inputs.timeLeftMilliseconds),
      takenPlaces: round(inputs.takenPlaces),
      newestRecordMilliseconds: this.#newestRecordMilliseconds,
      outcome: code,
    });
    metrics.countEvent(`admission_${code}_class_${priorityClass.index}`);
    return this.#createCallRefusal(code, priorityClass);
  }

  #refuseUnderPressure(
    request: AdmissionRequest,
    priorityClass: PriorityClass,
    server: FleetServer,
    servers: readonly FleetServer[],
  ): AdmissionRefusal | undefined {
    if (priorityClass.count < 2) return undefined;
    const decision = this.#decide({
      request,
      priorityClass,
      pressure: computeServerPressure(this.#getPlaces(server)),
      computeTakenPlaces: () => computeSlotUse(servers.map((other) => this.#getPlaces(other))),
    });
    return decision.kind === 'refuse'
      ? this.#createCallRefusal(decision.code, priorityClass)
      : undefined;
  }

  #createCallRefusal(code: RefusalCode, { index }: PriorityClass): AdmissionRefusal {
    const seconds = spreadRetryAfterSeconds(CALL_RETRY_AFTER_SECONDS, index, this.#random);
    return { code, retryAfterSeconds: seconds };
  }

  #decide(inputs: DecisionInputs): AdmissionDecision {
    const { accountShares, metrics, logs } = this.#options;
    const { request, priorityClass, pressure } = inputs;
    const { account, route, metadata, deadline } = request;
    const timeLeftMilliseconds = deadline - this.#now();
    let takenPlaces: number | undefined;
    let share: AccountShare | undefined;
    const decision = decideOnAdmission({
      priorityClass,
      pressure,
      takenPlaces: () => {
        takenPlaces = inputs.computeTakenPlaces();
        return takenPlaces;
      },
      isOverShare: () => {
        share = account && accountShares.find(toAccountKey(request, account.name));
        return share?.isOver ?? false;
      },
      timeLeftShare: timeLeftMilliseconds / Math.max(1, route.timeoutMilliseconds),
    });
    const outcome = decision.kind === 'admit' ? 'admitted' : decision.code;
    // Without pressure nothing was weighed; the counter tells of the request.
    if (takenPlaces !== undefined)
      logs('routing').info('Admission decided.', {
        requestId: metadata.requestId,
        class: priorityClass.index,
        classes: priorityClass.count,
        account: account?.name,
        pressure: round(pressure.value),
        resource: pressure.resource,
        utilisations: Object.fromEntries(
          Object.entries(pressure.utilisations).map(([name, value]) => [name, round(value)]),
        ),
        takenPlaces: round(takenPlaces),
        limit: Number.isFinite(decision.limit) ? round(decision.limit) : undefined,
        timeLeftMilliseconds: Math.round(timeLeftMilliseconds),
        accountLoad: share?.load,
        meanLoadOfOthers: round(share?.meanOfOthers),
        oldestAccountRecordMilliseconds: round(share?.oldestRecordMilliseconds),
        newestRecordMilliseconds: this.#newestRecordMilliseconds,
        outcome,
      });
    metrics.countEvent(`admission_${outcome}_class_${priorityClass.index}`);
    if (decision.kind === 'refuse') metrics.countEvent(`admission_short_of_${pressure.resource}`);
    return decision;
  }

  /** Undefined where no record of a peer has arrived. */
  get #newestRecordMilliseconds(): number | undefined {
    const { newestRecordMilliseconds } = this.#options.accountShares;
    return Number.isFinite(newestRecordMilliseconds)
      ? Math.round(newestRecordMilliseconds)
      : undefined;
  }

  #countForAccount(request: AdmissionRequest): void {
    if (!request.account) return;
    const key = toAccountKey(request, request.account.name);
    request.response.once('close', this.#options.accountShares.begin(key));
  }

  #getPlaces({ entry, ownLoad, peerLoad }: FleetServer): ServerPlaces {
    const known = ownLoad.requests + peerLoad.requests;
    const runningRequests = Math.max(known, this.#options.callTimes.reportedLoad(entry.id));
    return { slots: Math.max(1, entry.slots), runningRequests };
  }

  #listEngines(service: string): EnginePlaces[] {
    const { fleet, outlierEjection } = this.#options;
    return fleet.listForService(service).flatMap((server): EnginePlaces[] => {
      const { entry, ownLoad, peerLoad } = server;
      const layers = getHeldLayers(server);
      const isUsable =
        getAvailability(server, this.#now()) !== 'closed' && !outlierEjection.isEjected(entry.id);
      if (!layers || !isUsable) return [];
      return [
        {
          kind: entry.kind,
          layers,
          slots: entry.slots,
          runningRequests: ownLoad.requests + peerLoad.requests,
          reservedTokenLayers: ownLoad.reservedTokenLayers + peerLoad.reservedTokenLayers,
        },
      ];
    });
  }
}
