/** Formats measured results as a Markdown table and draws them as a line plot. */
import * as echarts from 'echarts';
import type { RequestSummary } from './measurements.js';

/** One row of the report: a client account, or `all`, in one phase with one router. */
export interface ReportRow extends RequestSummary {
  readonly router: string;
  readonly phase: string;
  readonly account: string;
  readonly tokensPerSecond: number;
  /** The measured throughput divided by the theoretical bound. */
  readonly reachedOverBound: number;
}

/** A named curve of a plot, as pairs of x and y. */
export interface Curve {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

/** The columns of the table in their order; the field names are the headings. */
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
 * Formats rows as a Markdown table with a heading line.
 *
 * @param rows - The rows in the order in which they are printed.
 * @returns The Markdown text, without a line break at its end.
 */
export function formatMarkdown(rows: readonly ReportRow[]): string {
  const bodyRows = rows.map((row) => COLUMNS.map((column) => String(row[column])));
  const tableRows = [COLUMNS, COLUMNS.map(() => '---'), ...bodyRows];
  return tableRows.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

/**
 * Draws curves in one plot.
 *
 * @param title - The text above the plot.
 * @param axes - The names of the horizontal and the vertical axis.
 * @param curves - One line each; their names appear in the legend.
 * @returns The plot as SVG text.
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
