/**
 * Runs the benchmarks that docs/CAPACITY.md is based on: `npm run capacity [-- <benchmark>]`. Prints
 * a table and draws the costs that depend on the number of replicas or instances.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { drawPlot } from '../experiment/report.js';
import {
  measureServiceCalls,
  measureIdleDaemons,
  measureStreamMemory,
  measureTokenCost,
} from './daemon-cost.js';
import { measureClaimWrites, measureDecisions, measureStateMemory } from './in-process-cost.js';
import { formatThreeFigures, type LineFit } from './line-fit.js';
import { measurePeerNetwork } from './peer-network-cost.js';

/** The benchmarks by their name on the command line; `calls` is handled separately below. */
const BENCHMARKS: Readonly<Record<string, () => Promise<LineFit[]> | LineFit[]>> = {
  decisions: measureDecisions,
  claims: measureClaimWrites,
  state: measureStateMemory,
  spreading: measurePeerNetwork,
  tokens: measureTokenCost,
  streams: measureStreamMemory,
  idle: measureIdleDaemons,
};

function formatRow({
  name,
  variedQuantity,
  unit,
  points,
  intercept,
  slope,
  maximumRelativeError,
}: LineFit): string {
  const pointList = points.map(({ x, y }) => `${x}: ${formatThreeFigures(y)}`).join(', ');
  const equation = `${formatThreeFigures(intercept)} + ${formatThreeFigures(slope)} × ${variedQuantity}`;
  return `| ${name} | ${equation} | ${unit} | ${Math.round(maximumRelativeError * 100)} % | ${pointList} |`;
}

const selectedBenchmark = process.argv[2];
const fits: LineFit[] = [];
const tableHeader = '| measured | line | unit | spread | points |\n| --- | --- | --- | --- | --- |';
process.stdout.write(`${tableHeader}\n`);
for (const [name, measure] of Object.entries(BENCHMARKS)) {
  if (selectedBenchmark === undefined || selectedBenchmark === name) {
    const benchmarkFits = await measure();
    fits.push(...benchmarkFits);
    process.stdout.write(`${benchmarkFits.map(formatRow).join('\n')}\n`);
  }
}
if (selectedBenchmark === undefined || selectedBenchmark === 'calls') {
  const { callsPerSecond, microsecondsPerCall } = await measureServiceCalls();
  process.stdout.write(
    `\nCalls to a plain service through one daemon: ${formatThreeFigures(callsPerSecond)} per second, ${formatThreeFigures(microsecondsPerCall)} µs each.\n`,
  );
}
const plottedFits = fits.filter(
  ({ variedQuantity }) => variedQuantity === 'instances' || variedQuantity.startsWith('replicas'),
);
if (plottedFits.length > 0) {
  const curves = plottedFits.map(({ name, unit, points }) => ({
    name: `${name} (${unit})`,
    points: points.map(({ x, y }): [number, number] => [x, y]),
  }));
  const variedQuantity = plottedFits[0]?.variedQuantity ?? '';
  mkdirSync('docs', { recursive: true });
  const file = `docs/capacity-${selectedBenchmark ?? 'all'}.svg`;
  writeFileSync(file, drawPlot(`Costs against ${variedQuantity}`, [variedQuantity, ''], curves));
}
process.exit(0);
