/**
 * Shows that two builds of the program serve side by side and take over each other's data, with a
 * rolling replacement of one by the other in both directions. Run it after a build, with another
 * checkout whose `dist` folder has been built: `node dist/tools/mixed-builds/run.js <checkout>`.
 */
import path from 'node:path';
import { DAEMON_PROGRAM } from '../daemon-group.js';
import { PLATFORM_PROGRAM } from '../platform-group.js';
import { checkPlatform } from './platform-check.js';
import { checkProduct } from './product-check.js';
import { report } from './replacement.js';

async function main(): Promise<void> {
  const checkout = process.argv[2];
  if (!checkout) {
    process.stderr.write('usage: node dist/tools/mixed-builds/run.js <other checkout, built>\n');
    process.exit(2);
  }
  const other = path.resolve(checkout, 'dist');
  const otherProgram = path.join(other, 'platform', 'main.js');
  const otherDaemon = path.join(other, 'src', 'daemon', 'main.js');
  await checkPlatform({
    name: 'the other build, then this one',
    from: otherProgram,
    to: PLATFORM_PROGRAM,
  });
  await checkPlatform({
    name: 'this build, then the other one',
    from: PLATFORM_PROGRAM,
    to: otherProgram,
  });
  await checkProduct({
    name: 'the other build, then this one',
    from: otherDaemon,
    to: DAEMON_PROGRAM,
  });
  await checkProduct({
    name: 'this build, then the other one',
    from: DAEMON_PROGRAM,
    to: otherDaemon,
  });
  report('Both builds serve side by side and take over each other’s data.');
}

await main();
