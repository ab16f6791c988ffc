/** Counters and histograms of an instance, on its metrics page. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Labels of a request's measurements. */
export interface RequestLabels {
  readonly account: string;
  readonly route: string;
  readonly outcome: string;
}

const LATENCY_BUCKETS_SECONDS = [0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10, 20];

export class EntryMetrics {
  readonly #registry = new Registry();

  readonly #requests = new Counter({
    name: 'sesamedyke_requests_total',
    help: 'Requests by client account, route and outcome.',
    labelNames: ['account', 'route', 'outcome'],
    registers: [this.#registry],
  });

  readonly #latency = new Histogram({
    name: 'sesamedyke_first_answer_seconds',
    help: 'Time to the answer, or to a stream’s first event.',
    labelNames: ['account', 'route'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });

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
  request(labels: RequestLabels, firstAnswerSeconds: number | undefined): void {
    this.#requests.inc({ ...labels });
    if (firstAnswerSeconds === undefined) return;
    const { account, route } = labels;
    this.#latency.observe({ account, route }, firstAnswerSeconds);
  }

  /** Counts an event. */
  event(event: string): void {
    this.#events.inc({ event });
  }

  /** Sets a gauge. */
  state(name: string, value: number): void {
    this.#gauges.set({ name }, value);
  }

  /** Writes the page in the text format for metrics. */
  page(): Promise<string> {
    return this.#registry.metrics();
  }
}
