/** Command: stop an instance gracefully. */
import { BaseCommand, instanceFlag } from '../base-command.js';
import { fetchJson } from '../operator-client.js';

export class Drain extends BaseCommand {
  static override summary =
    'Stop an instance once callers no longer use it and its requests are done.';

  static override examples = ['<%= config.bin %> drain --instance 127.0.0.1:7300'];

  static override flags = { instance: instanceFlag };

  override async run(): Promise<unknown> {
    const { flags } = await this.parse(Drain);
    const response = await fetchJson(
      this.parseAddressArgument(flags.instance),
      'POST',
      '/v1/drain',
    );
    this.log('The instance is draining.');
    return response;
  }
}
