/** Queries that show one list of an instance as a table. */
import { BaseCommand, instanceFlag } from '../base-command.js';
import { fetchJson } from '../operator-client.js';
import { formatTable, type Row } from '../table.js';

/** What one of these commands shows. */
interface Listing {
  readonly path: string;
  readonly field: string;
  readonly columns: readonly string[];
}

abstract class ListCommand extends BaseCommand {
  static override flags = { instance: instanceFlag };

  protected abstract readonly listing: Listing;

  override async run(): Promise<unknown> {
    const { flags } = await this.parse(this.ctor as typeof ListCommand);
    const { path, field, columns } = this.listing;
    const answer = await fetchJson(this.address(flags.instance), 'GET', path);
    this.log(formatTable((answer as Record<string, Row[]>)[field] ?? [], columns));
    return answer;
  }
}

/** Shows the backend servers that an instance knows. */
export class Backends extends ListCommand {
  static override summary = 'Show the backend servers with state, limit and load.';

  static override examples = ['<%= config.bin %> backends --instance 127.0.0.1:7300'];

  protected readonly listing = {
    path: '/v1/backends',
    field: 'backends',
    columns: [
      'id',
      'kind',
      'dataCentre',
      'state',
      'usable',
      'limit',
      'inFlight',
      'load',
      'slowness',
      'accelerator',
      'layers',
    ],
  };
}

/** Shows the layer ranges that engines serve. */
export class Pipelines extends ListCommand {
  static override summary = 'Show the stages of each model with servers and slots.';

  static override examples = ['<%= config.bin %> pipelines'];

  protected readonly listing = {
    path: '/v1/pipelines',
    field: 'stages',
    columns: ['model', 'version', 'adapter', 'from', 'to', 'accelerator', 'servers', 'slots'],
  };
}

/** Shows the instances. */
export class Members extends ListCommand {
  static override summary = 'Show the instances and their states.';

  static override examples = ['<%= config.bin %> members --json'];

  protected readonly listing = {
    path: '/v1/members',
    field: 'members',
    columns: ['instance', 'dataCentre', 'region', 'state', 'callerAddress', 'operatorAddress'],
  };
}

/** Shows the placement leases that an instance holds. */
export class Leases extends ListCommand {
  static override summary = 'Show the placement leases that the instance holds.';

  static override examples = ['<%= config.bin %> leases'];

  protected readonly listing = {
    path: '/v1/leases',
    field: 'leases',
    columns: ['model', 'fencingNumber', 'remainingMilliseconds'],
  };
}

/** Shows latencies by client account and class. */
export class Histograms extends ListCommand {
  static override summary = 'Show latencies in milliseconds by client account and class.';

  static override examples = ['<%= config.bin %> histograms'];

  protected readonly listing = {
    path: '/v1/histograms',
    field: 'histograms',
    columns: ['measure', 'account', 'class', 'count', 'p50', 'p95', 'p99', 'maximum'],
  };
}
