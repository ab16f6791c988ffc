/** Queries that show a list of an instance as a table. */
import { BaseCommand, instanceFlag } from '../base-command.js';
import { fetchJson } from '../operator-client.js';
import { formatTable, type Row } from '../table.js';

/** The list that a command shows. */
interface ListDescription {
  /** Path of the operator interface to read. */
  readonly path: string;
  /** Field of the response that holds the rows. */
  readonly field: string;
  readonly columns: readonly string[];
}

/** A command that shows a list. */
abstract class ListCommand extends BaseCommand {
  static override flags = { instance: instanceFlag };

  protected abstract readonly listing: ListDescription;

  override async run(): Promise<unknown> {
    const { flags } = await this.parse(this.ctor as typeof ListCommand);
    const { path, field, columns } = this.listing;
    const response = await fetchJson(this.parseAddressArgument(flags.instance), 'GET', path);
    this.log(formatTable((response as Record<string, Row[]>)[field] ?? [], columns));
    return response;
  }
}

/** Query: the backend servers that an instance knows. */
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

/** Query: the ranges of layers that engines hold. */
export class Pipelines extends ListCommand {
  static override summary = 'Show the stages of each model with servers and slots.';

  static override examples = ['<%= config.bin %> pipelines'];

  protected readonly listing = {
    path: '/v1/pipelines',
    field: 'stages',
    columns: ['model', 'version', 'adapter', 'from', 'to', 'accelerator', 'servers', 'slots'],
  };
}

/** Query: the instances that an instance knows, itself included. */
export class Members extends ListCommand {
  static override summary = 'Show the instances and their states.';

  static override examples = ['<%= config.bin %> members --json'];

  protected readonly listing = {
    path: '/v1/members',
    field: 'members',
    columns: ['instance', 'dataCentre', 'region', 'state', 'callerAddress', 'operatorAddress'],
  };
}

/** Query: the placement leases that an instance holds. */
export class Leases extends ListCommand {
  static override summary = 'Show the placement leases that the instance holds.';

  static override examples = ['<%= config.bin %> leases'];

  protected readonly listing = {
    path: '/v1/leases',
    field: 'leases',
    columns: ['model', 'fencingNumber', 'remainingMilliseconds'],
  };
}

/** Query: latencies by client account and class. */
export class Histograms extends ListCommand {
  static override summary = 'Show latencies in milliseconds by client account and class.';

  static override examples = ['<%= config.bin %> histograms'];

  protected readonly listing = {
    path: '/v1/histograms',
    field: 'histograms',
    columns: ['measure', 'account', 'class', 'count', 'p50', 'p95', 'p99', 'maximum'],
  };
}
