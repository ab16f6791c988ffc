/** Queries that show the configuration and compare it with a file. */
import { readFileSync } from 'node:fs';
import { Args } from '@oclif/core';
import { getErrorMessage } from '../../common/http-client.js';
import { formatIssue, toIssues } from '../../common/issue.js';
import { TeamSettings } from '../../configuration/branch.js';
import { safeParseJsonWithComments } from '../../settings/settings.js';
import { BaseCommand, instanceFlag } from '../base-command.js';
import { diffSettings, readBranch } from '../branch-client.js';
import { EXIT_CODES } from '../exit-codes.js';
import { fetchJson, CommandError } from '../operator-client.js';
import { formatTable } from '../table.js';

const team = Args.string({ required: true, description: 'the team' });

/**
 * Reads a file that holds all settings of a team.
 *
 * @param path - Path of the file, which is JSON with comments.
 * @returns The settings with defaults filled in.
 * @throws CommandError that lists every issue found, or tells why the file cannot be read.
 */
export function readTeamFile(path: string): TeamSettings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new CommandError(getErrorMessage(error), EXIT_CODES.failed);
  }
  const value = safeParseJsonWithComments(text)
    .mapLeft((issues) => new CommandError(issues.map(formatIssue).join('\n'), EXIT_CODES.failed))
    .unsafeCoerce();
  const checked = TeamSettings.safeParse(value);
  if (checked.success) return checked.data;
  const issues = toIssues(checked.error);
  throw new CommandError(issues.map(formatIssue).join('\n'), EXIT_CODES.failed);
}

/** Query: the branch of a team that is in force. */
export class ConfigurationGet extends BaseCommand {
  static override summary = "Show a team's settings in force.";

  static override examples = ['<%= config.bin %> configuration get planning'];

  static override args = { team };

  static override flags = { instance: instanceFlag };

  override async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigurationGet);
    const branch = await readBranch(this.parseAddressArgument(flags.instance), args.team);
    this.log(`// Revision ${branch.revision} of ${branch.team}`);
    this.log(JSON.stringify(branch.settings, null, 2));
    return branch;
  }
}

/** Query: the configuration in force on an entry instance, which runs on a platform. */
export class ConfigurationShow extends BaseCommand {
  static override summary = 'Show the configuration in force on an instance on a platform.';

  static override examples = ['<%= config.bin %> configuration show --instance 127.0.0.1:7340'];

  static override flags = { instance: instanceFlag };

  override async run(): Promise<unknown> {
    const { flags } = await this.parse(ConfigurationShow);
    const address = this.parseAddressArgument(flags.instance);
    const configuration = await fetchJson(address, 'GET', '/v1/configuration');
    this.log(JSON.stringify(configuration, null, 2));
    return configuration;
  }
}

/** Query: the edits that applying a file would make. */
export class ConfigurationDiff extends BaseCommand {
  static override summary = 'Show what applying a file would change.';

  static override examples = ['<%= config.bin %> configuration diff planning ./planning.jsonc'];

  static override args = {
    team,
    file: Args.string({ required: true, description: 'the wanted settings' }),
  };

  static override flags = { instance: instanceFlag };

  override async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigurationDiff);
    const wanted = readTeamFile(args.file);
    const branch = await readBranch(this.parseAddressArgument(flags.instance), args.team);
    const edits = diffSettings(branch.settings, wanted);
    edits.forEach((edit) => this.log(`${edit.path.join('/')} = ${JSON.stringify(edit.value)}`));
    if (edits.length === 0) this.log('Nothing would change.');
    return { revision: branch.revision, edits };
  }
}

/** Query: the latest accepted changes of a team. */
export class ConfigurationHistory extends BaseCommand {
  static override summary = 'Show the latest accepted changes of a team.';

  static override examples = ['<%= config.bin %> configuration history planning'];

  static override args = { team };

  static override flags = { instance: instanceFlag };

  override async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ConfigurationHistory);
    const branch = await readBranch(this.parseAddressArgument(flags.instance), args.team);
    const rows = branch.recentChanges.map((change) => ({
      ...change,
      acceptedAt: new Date(change.acceptedAt).toISOString(),
      paths: change.paths.join(' '),
    }));
    this.log(formatTable(rows, ['revision', 'acceptedAt', 'author', 'paths']));
    return { changes: branch.recentChanges };
  }
}
