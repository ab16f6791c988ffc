/** Query: the state of one instance. */
import { BaseCommand, instanceFlag } from '../base-command.js';
import { fetchJson } from '../operator-client.js';
import { formatTable } from '../table.js';

export class Status extends BaseCommand {
  static override summary = 'Show the state of an instance.';

  static override examples = ['<%= config.bin %> status --instance 127.0.0.1:7300'];

  static override flags = { instance: instanceFlag };

  override async run(): Promise<unknown> {
    const { flags } = await this.parse(Status);
    const response = await fetchJson(
      this.parseAddressArgument(flags.instance),
      'GET',
      '/v1/status',
    );
    const rows = Object.entries(response as object).map(([field, value]) => ({
      field,
      value: value as unknown,
    }));
    this.log(formatTable(rows, ['field', 'value']));
    return response;
  }
}
