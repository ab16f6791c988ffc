/**
 * Records latencies and events: sends them as StatsD metrics, and keeps percentiles for operators by
 * client account and class.
 */
import { StatsD } from 'hot-shots';
import { build, type Histogram } from 'hdr-histogram-js';
import type { Address } from '../common/address.js';
import { LruMap } from '../common/lru-map.js';

/** The latencies that are measured, in milliseconds. */
export const MEASURES = ['request', 'first_token', 'token_gap', 'queue'] as const;
export type Measure = (typeof MEASURES)[number];

/** What a measurement is attributed to. */
export interface MeasureTags {
  readonly account: string;
  readonly class: string;
  readonly outcome?: string;
}

/** Count, percentiles and maximum of one measure for one client account and class, in milliseconds. */
export interface MeasureSummary {
  readonly measure: string;
  readonly account: string;
  readonly class: string;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly maximum: number;
}

const MAXIMUM_HISTOGRAMS = 2000;
const MAXIMUM_RECORDED_MILLISECONDS = 3_600_000;
const FLUSH_INTERVAL_MILLISECONDS = 1000;

/** Sends metrics to StatsD and keeps one histogram for each measure, client account and class. */
export class Metrics {
  readonly #client: StatsD;

  readonly #histograms = new LruMap<string, Histogram>(MAXIMUM_HISTOGRAMS);

  constructor(options: { readonly address?: Address | undefined; readonly instance: string }) {
    const { address, instance } = options;
    this.#client = new StatsD({
      host: address?.host ?? '127.0.0.1',
      port: address?.port ?? 8125,
      mock: address === undefined,
      prefix: 'sesamedyke.',
      globalTags: { instance },
      bufferFlushInterval: FLUSH_INTERVAL_MILLISECONDS,
      maxBufferSize: 1400,
      errorHandler: () => undefined,
    });
  }

  /**
   * Records a measurement.
   *
   * @param measure - The latency that was measured.
   * @param milliseconds - Its value; the histogram counts values below 1 ms as 1 ms and those over an
   *   hour as one hour.
   * @param tags - What it is attributed to; the histogram ignores the outcome.
   */
  observe(measure: Measure, milliseconds: number, tags: MeasureTags): void {
    this.#client.histogram(`${measure}.milliseconds`, milliseconds, { ...tags });
    const key = `${measure}\n${tags.account}\n${tags.class}`;
    const histogram = this.#histograms.get(key) ?? this.#createHistogram(key);
    histogram.recordValue(
      Math.min(MAXIMUM_RECORDED_MILLISECONDS, Math.max(1, Math.round(milliseconds))),
    );
  }

  /**
   * Counts an event in StatsD.
   *
   * @param name - Name of the counter.
   * @param tags - StatsD tags of the counter.
   */
  count(name: string, tags: Readonly<Record<string, string>> = {}): void {
    this.#client.increment(name, 1, { ...tags });
  }

  /**
   * Summarises every histogram.
   *
   * @returns One row for each measure, client account and class.
   */
  summarise(): MeasureSummary[] {
    return [...this.#histograms.entries()].map(([key, histogram]) => {
      const [measure = '', account = '', requestClass = ''] = key.split('\n');
      return {
        measure,
        account,
        class: requestClass,
        count: histogram.totalCount,
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
        maximum: histogram.maxValue,
      };
    });
  }

  /** Sends buffered metrics and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#client.close(() => resolve());
    });
  }

  #createHistogram(key: string): Histogram {
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAXIMUM_RECORDED_MILLISECONDS,
      numberOfSignificantValueDigits: 2,
      bitBucketSize: 'packed',
    });
    this.#histograms.set(key, histogram);
    return histogram;
  }
}
