/** Writes an experiment's results as a Markdown page and a plot. */
import * as echarts from 'echarts';
import type { RequestSummary } from './measurements.js';

/** One row of a report. */
export interface ReportRow extends RequestSummary {
  readonly router: string;
  readonly phase: string;
  readonly account: string;
  readonly tokensPerSecond: number;
  readonly reachedOverBound: number;
}

/** A curve of a plot. */
export interface Curve {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

const COLUMNS: readonly (keyof ReportRow)[] = [
  'router',
  'phase',
  'account',
  'requests',
  'completed',
  'refused',
  'other',
  'wrong',
  'tokensPerSecond',
  'reachedOverBound',
  'firstToken50',
  'firstToken95',
  'gap95',
  'total95',
  'longestGap',
];

/**
 * Writes rows as a Markdown table.
 *
 * @param rows - The rows.
 * @returns The table.
 */
export function formatMarkdown(rows: readonly ReportRow[]): string {
  const bodyRows = rows.map((row) => COLUMNS.map((column) => String(row[column])));
  const tableRows = [COLUMNS, COLUMNS.map(() => '---'), ...bodyRows];
  return tableRows.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

/**
 * Draws curves.
 *
 * @param title - The plot's title.
 * @param axes - The names of the horizontal and the vertical axis.
 * @param curves - The curves.
 * @returns The plot as SVG.
 */
export function drawPlot(
  title: string,
  axes: readonly [string, string],
  curves: readonly Curve[],
): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: 860, height: 420 });
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { top: 28 },
    grid: { top: 70, left: 70, right: 30, bottom: 50 },
    xAxis: { type: 'value', name: axes[0], nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: 'value', name: axes[1] },
    series: curves.map(({ name, points }) => ({
      type: 'line',
      name,
      data: points,
      showSymbol: points.length < 30,
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
