/** Query: whether a settings file is valid. */
import { Args } from '@oclif/core';
import { formatIssue } from '../../common/issue.js';
import { readSettingsFile } from '../../settings/settings.js';
import { BaseCommand } from '../base-command.js';
import { EXIT_CODES } from '../exit-codes.js';

export class SettingsCheck extends BaseCommand {
  static override summary = 'Check a settings file and list every issue found.';

  static override examples = ['<%= config.bin %> settings check ./entry-1.jsonc'];

  static override args = {
    file: Args.string({ required: true, description: 'the settings file' }),
  };

  override async run(): Promise<unknown> {
    const { args } = await this.parse(SettingsCheck);
    const result = readSettingsFile(args.file);
    if (result.isRight()) {
      this.log(`${args.file} is valid.`);
      return { valid: true, issues: [] };
    }
    const issues = result.extract();
    if (Array.isArray(issues)) issues.forEach((issue) => this.logToStderr(formatIssue(issue)));
    process.exitCode = EXIT_CODES.failed;
    return { valid: false, issues };
  }
}
