#!/usr/bin/env node
/** Entry point of the daemon: `sesamedyked --settings <file>`. */
import { parseArgs } from 'node:util';
import { getErrorMessage } from '../common/http-client.js';
import { formatIssue } from '../common/issue.js';
import { readSettingsFile } from '../settings/settings.js';
import { createLoggerFactory } from '../telemetry/log.js';
import { startDaemon } from './daemon.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_START = 1;

function parseSettingsPath(): string | undefined {
  try {
    const { values } = parseArgs({ options: { settings: { type: 'string', short: 's' } } });
    return values.settings;
  } catch (error) {
    process.stderr.write(`${getErrorMessage(error)}\n`);
    return undefined;
  }
}

async function main(): Promise<void> {
  const path = parseSettingsPath();
  if (path === undefined) {
    process.stderr.write('Usage: sesamedyked --settings <file>\n');
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const parsed = readSettingsFile(path);
  if (parsed.isLeft()) {
    const lines = parsed.extract().map((issue) => `${path}: ${formatIssue(issue)}`);
    process.stderr.write(`${lines.join('\n')}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const settings = parsed.unsafeCoerce();
  const logs = createLoggerFactory({ instance: settings.instance, level: settings.logLevel });
  try {
    const daemon = await startDaemon({ settings, logs });
    const stop = (): void => {
      void daemon.stop();
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
    await daemon.stopped;
    process.exit(0);
  } catch (error) {
    logs('daemon').error('The instance could not start.', { error: getErrorMessage(error) });
    process.exitCode = EXIT_CANNOT_START;
  }
}

await main();
