/** Commands that change the configuration. */
import { Args, Flags } from '@oclif/core';
import type { Edit } from '../../configuration/change.js';
import { BaseCommand, instanceFlag } from '../base-command.js';
import { diffSettings, readBranch, sendChange, waitUntilInForce } from '../branch-client.js';
import { EXIT_CODES } from '../exit-codes.js';
import { readTeamFile } from '../queries/configuration-queries.js';

const team = Args.string({ required: true, description: 'the team' });

const changeFlags = {
  instance: instanceFlag,
  author: Flags.string({ default: 'operator', description: 'the author shown in the history' }),
  wait: Flags.boolean({ description: 'wait until every live instance has it in force' }),
  timeout: Flags.integer({
    default: 10_000,
    min: 1,
    description: 'how long to wait, in milliseconds',
  }),
};

interface ChangeFlags {
  readonly instance: string;
  readonly author: string;
  readonly wait: boolean;
  readonly timeout: number;
}

abstract class ChangeCommand extends BaseCommand {
  /** Sends edits, and with `--wait` waits until they are in force on every live instance. */
  protected async sendEdits(
    teamName: string,
    baseRevision: number,
    edits: readonly Edit[],
    flags: ChangeFlags,
  ): Promise<unknown> {
    const address = this.parseAddressArgument(flags.instance);
    const revision = await sendChange(address, teamName, {
      baseRevision,
      author: flags.author,
      edits,
    });
    this.log(`Accepted as revision ${revision} of ${teamName}.`);
    if (!flags.wait) return { result: 'accepted', revision };
    const report = await waitUntilInForce(address, teamName, revision, flags.timeout);
    this.log(`In force on ${report.inForce.length} instances.`);
    if (report.missing.length > 0) {
      this.logToStderr(`Not in force yet on: ${report.missing.join(', ')}`);
      process.exitCode = EXIT_CODES.notInForceEverywhere;
    }
    return { result: 'accepted', revision, ...report };
  }
}

/** Parses a value as JSON; text that is not JSON stands for itself. */
function parseValue(text: string): Edit['value'] {
  try {
    return JSON.parse(text) as Edit['value'];
  } catch {
    return text;
  }
}

/** Command: set single fields of a team's settings. */
export class ConfigurationSet extends ChangeCommand {
  static override summary = 'Set single fields; a value of null removes one.';

  static override examples = [
    '<%= config.bin %> configuration set planning models/drafting/version=2 --wait',
    '<%= config.bin %> configuration set planning \'models/drafting/fleets=["fast"]\'',
  ];

  static override strict = false;

  static override args = {
    team,
    edits: Args.string({ required: true, description: '<path>=<value>, one or more' }),
  };

  static override flags = {
    ...changeFlags,
    base: Flags.integer({
      min: 0,
      description: 'the revision that the edits are based on; by default, the one in force',
    }),
  };

  override async run(): Promise<unknown> {
    const { args, argv, flags } = await this.parse(ConfigurationSet);
    const edits = argv.slice(1).map((text) => {
      const [path = '', ...value] = String(text).split('=');
      if (value.length === 0)
        this.error(`"${String(text)}" is not <path>=<value>.`, { exit: EXIT_CODES.usage });
      return { path: path.split('/'), value: parseValue(value.join('=')) };
    });
    const base =
      flags.base ??
      (await readBranch(this.parseAddressArgument(flags.instance), args.team)).revision;
    return this.sendEdits(args.team, base, edits, flags);
  }
}

/** Command: change a team's settings to those in a file. */
export class ConfigurationApply extends ChangeCommand {
  static override summary = "Change a team's settings to those in a file.";

  static override examples = [
    '<%= config.bin %> configuration apply planning ./planning.jsonc --wait',
  ];

  static override args = {
    team,
    file: Args.string({ required: true, description: 'the wanted settings' }),
  };

  static override flags = changeFlags;

  override async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigurationApply);
    const wanted = readTeamFile(args.file);
    const branch = await readBranch(this.parseAddressArgument(flags.instance), args.team);
    const edits = diffSettings(branch.settings, wanted);
    if (edits.length > 0) return this.sendEdits(args.team, branch.revision, edits, flags);
    this.log('Nothing to change.');
    return { result: 'unchanged', revision: branch.revision };
  }
}
