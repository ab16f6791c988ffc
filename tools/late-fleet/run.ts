/**
 * Prints what the instances of a simulated fleet believe of each other while they are late, and how old their configuration is, second by second.
 *
 * Usage: node dist/tools/late-fleet/run.js [seed] [share of late instances] [longest hold in milliseconds]
 */
import { simulateLateFleet } from './late-fleet.js';

const [seed = 1, lateShare = 1, longest = 600] = process.argv.slice(2).map(Number);
const holdMilliseconds = [Math.min(100, longest), longest] as const;
const { seconds, endKnownAfter } = await simulateLateFleet({ seed, lateShare, holdMilliseconds });
seconds.forEach((second) => {
  const workMilliseconds = Math.round(second.workMilliseconds * 10) / 10;
  process.stdout.write(`${JSON.stringify({ ...second, workMilliseconds })}\n`);
});
process.stdout.write(`${JSON.stringify({ seed, lateShare, holdMilliseconds, endKnownAfter })}\n`);
