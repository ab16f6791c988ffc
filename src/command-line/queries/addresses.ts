/** Query: the addresses that a client account should use. */
import { Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';
import { fetchJson } from '../operator-client.js';
import { formatTable, type Row } from '../table.js';

export class Addresses extends BaseCommand {
  static override summary = 'Show which addresses a client account should use.';

  static override examples = [
    '<%= config.bin %> addresses --caller 127.0.0.1:7100 --account planner',
  ];

  static override flags = {
    caller: Flags.string({ required: true, description: 'caller address of any instance' }),
    account: Flags.string({ default: '', description: 'the client account' }),
    'data-centre': Flags.string({ description: 'the data centre nearest to the caller' }),
  };

  override async run(): Promise<unknown> {
    const { flags } = await this.parse(Addresses);
    const query = new URLSearchParams({ account: flags.account });
    if (flags['data-centre']) query.set('dataCentre', flags['data-centre']);
    const response = await fetchJson(
      this.parseAddressArgument(flags.caller),
      'GET',
      `/v1/addresses?${query}`,
    );
    const { addresses, keepMilliseconds } = response as {
      addresses: Row[];
      keepMilliseconds?: number;
    };
    this.log(formatTable(addresses, ['instance', 'dataCentre', 'host', 'port']));
    if (keepMilliseconds !== undefined) {
      this.log(`These may be kept for ${keepMilliseconds} ms.`);
    }
    return response;
  }
}
