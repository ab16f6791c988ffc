/** Counters and histograms of an instance, on its metrics page. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { RouteKind } from './serving-configuration.js';

/** What a finished request is counted by. */
export interface RequestLabels {
  readonly account: string;
  /** What may be repeated, which is also how the answer comes. */
  readonly kind: RouteKind;
  readonly outcome: string;
}

/**
 * Client accounts counted by name; later ones are counted together. A page with all accounts of a
 * large deployment takes longer to write than the time between two readings allows.
 */
const MAXIMUM_NAMED_ACCOUNTS = 100;
const OTHER_ACCOUNTS_LABEL = 'other';
const LATENCY_BUCKETS_SECONDS = [0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 20];

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

  readonly #gauges = new Gauge({
    name: 'sesamedyke_state',
    help: 'State of the instance.',
    labelNames: ['name'],
    registers: [this.#registry],
  });

  /** Counts a finished request and, where it was answered, its time in seconds. */
  recordRequest(labels: RequestLabels, firstAnswerSeconds: number | undefined): void {
    const series = { account: this.#accountLabel(labels.account), class: labels.kind };
    this.#requests.inc({ ...series, outcome: labels.outcome });
    if (firstAnswerSeconds !== undefined) this.#latency.observe(series, firstAnswerSeconds);
  }

  /** Counts an event. */
  countEvent(event: string): void {
    this.#events.inc({ event });
  }

  /** Sets a gauge. */
  setState(name: string, value: number): void {
    this.#gauges.set({ name }, value);
  }

  #accountLabel(account: string): string {
    if (this.#namedAccounts.has(account)) return account;
    if (this.#namedAccounts.size >= MAXIMUM_NAMED_ACCOUNTS) return OTHER_ACCOUNTS_LABEL;
    this.#namedAccounts.add(account);
    return account;
  }

  /** Writes the page in the text format for metrics. */
  renderPage(): Promise<string> {
    return this.#registry.metrics();
  }
}
