/** Counts requests and events of an instance and renders them for Prometheus. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { RouteKind } from './serving-configuration.js';

/** The labels under which a finished request is counted. */
export interface RequestLabels {
  readonly account: string;
  /** The kind of its route. */
  readonly kind: RouteKind;
  readonly outcome: string;
}

/**
 * Client accounts that are counted under their own name; all later ones are counted together. With
 * all accounts of a large deployment, the metrics page takes longer to render than the time between
 * two scrapes.
 */
const MAXIMUM_NAMED_ACCOUNTS = 100;
const OTHER_ACCOUNTS_LABEL = 'other';
const DELAY_BUCKETS_SECONDS = [0.01, 0.03, 0.1, 0.3, 1, 3];
const LATENCY_BUCKETS_SECONDS = [0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 20];

/** The metrics of one instance. */
export class EntryMetrics {
  readonly #registry = new Registry();

  readonly #requests = new Counter({
    name: 'sesamedyke_requests_total',
    help: 'Requests by client account, class and outcome.',
    labelNames: ['account', 'class', 'outcome'],
    registers: [this.#registry],
  });

  readonly #latency = new Histogram({
    name: 'sesamedyke_first_answer_seconds',
    help: 'Time to the answer, or to a stream’s first event.',
    labelNames: ['account', 'class'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });

  readonly #namedAccounts = new Set<string>();

  readonly #events = new Counter({
    name: 'sesamedyke_events_total',
    help: 'Retries, resumptions, suspicions, orders and other events.',
    labelNames: ['event'],
    registers: [this.#registry],
  });

  readonly #eventLoopDelay = new Histogram({
    name: 'sesamedyke_event_loop_delay_seconds',
    help: 'How late the process runs its timers.',
    buckets: DELAY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });

  readonly #gauges = new Gauge({
    name: 'sesamedyke_state',
    help: 'State of the instance.',
    labelNames: ['name'],
    registers: [this.#registry],
  });

  /**
   * Counts a finished request.
   *
   * @param labels - What it is counted under.
   * @param firstResponseSeconds - The time to its response or to a stream's first event; undefined
   * when there was none, or when it says nothing about the time to serve a request.
   */
  recordRequest(labels: RequestLabels, firstResponseSeconds: number | undefined): void {
    const labelValues = { account: this.#getAccountLabel(labels.account), class: labels.kind };
    this.#requests.inc({ ...labelValues, outcome: labels.outcome });
    if (firstResponseSeconds !== undefined)
      this.#latency.observe(labelValues, firstResponseSeconds);
  }

  /** Counts an event, such as a retry, under its name. */
  countEvent(event: string): void {
    this.#events.inc({ event });
  }

  /** Counts how late the process ran a timer, in milliseconds. */
  recordEventLoopDelay(milliseconds: number): void {
    this.#eventLoopDelay.observe(milliseconds / 1000);
  }

  /** Sets a gauge that describes the state of the instance. */
  setState(name: string, value: number): void {
    this.#gauges.set({ name }, value);
  }

  /** Sets how long ago something was last confirmed; -1 if it never was, or others see to it. */
  setAge(name: string, milliseconds: number | undefined): void {
    const isKnown = milliseconds !== undefined && Number.isFinite(milliseconds);
    this.setState(name, isKnown ? Math.round(milliseconds) : -1);
  }

  /** The label for an account; accounts beyond the limit share one. */
  #getAccountLabel(account: string): string {
    if (this.#namedAccounts.has(account)) return account;
    if (this.#namedAccounts.size >= MAXIMUM_NAMED_ACCOUNTS) return OTHER_ACCOUNTS_LABEL;
    this.#namedAccounts.add(account);
    return account;
  }

  /** Renders all metrics in the Prometheus text format. */
  renderPage(): Promise<string> {
    return this.#registry.metrics();
  }
}
