/**
 * Finds out whether a backend server has ended. A live server may break off one answer, and a reset on the
 * way looks the same, so the server's host is asked with a new connection that carries no request. A refused
 * connection may be this instance's own loss of links, so that it shows an end only if this instance still
 * reaches another server, and a peer is refused as well.
 */
import { probeConnection, type ConnectionResult } from '../common/connection-probe.js';
import type { Logger } from '../telemetry/log.js';
import type { BackendFleet } from './backend-fleet.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';
import type { ServerReach } from './server-reach.js';

/** What a peer finds at a server; undefined if there is no peer to ask, or it doesn't answer. */
export type PeerFinding = ConnectionResult | undefined;

/** Options of {@link EndCheck}. */
export interface EndCheckOptions {
  readonly fleet: BackendFleet;
  readonly serverReach: ServerReach;
  /** Asks a peer to connect to a server. */
  readonly askPeer: (serverId: string) => Promise<PeerFinding>;
  readonly log: Logger;
}

/** A process that is ending may accept a connection just before it closes all of them. */
const HOLD_MILLISECONDS = 50;
const MAXIMUM_CONNECTIONS = 2;

/**
 * Connects to a server, once more if it closes the connection at once.
 *
 * @param entry - The server.
 * @returns What became of the last connection.
 */
export async function probeServer({ address }: ServerEntry): Promise<ConnectionResult> {
  const options = { holdMilliseconds: HOLD_MILLISECONDS };
  let result = await probeConnection(address, options);
  for (let count = 1; count < MAXIMUM_CONNECTIONS && result === 'closed'; count += 1)
    result = await probeConnection(address, options);
  return result;
}

export class EndCheck {
  readonly #options: EndCheckOptions;

  /** By process; requests that lose their connections at the same moment share one check. */
  readonly #running = new Map<string, Promise<void>>();

  constructor(options: EndCheckOptions) {
    this.#options = options;
  }

  /**
   * Connects to a server whose process broke a connection off, and records its end if that shows one.
   *
   * @param entry - The entry of that process.
   */
  check(entry: ServerEntry): Promise<void> {
    return this.#share(entry, async () => {
      if ((await probeServer(entry)) !== 'refused') return;
      await this.#confirm(entry, 'a connection was refused right after one had broken off');
    });
  }

  /**
   * Records the end of a server that refused a connection, if that was not this instance's own doing.
   *
   * @param entry - The entry of the process that listened there.
   * @param evidence - How it was refused, for the log.
   */
  recordRefusal(entry: ServerEntry, evidence: string): Promise<void> {
    return this.#share(entry, () => this.#confirm(entry, evidence));
  }

  async #share(entry: ServerEntry, check: () => Promise<void>): Promise<void> {
    const processKey = getProcessKey(entry);
    if (this.#options.fleet.hasEnded(processKey)) return undefined;
    const known = this.#running.get(processKey);
    if (known) return known;
    const running = check().finally(() => this.#running.delete(processKey));
    this.#running.set(processKey, running);
    return running;
  }

  async #confirm(entry: ServerEntry, evidence: string): Promise<void> {
    const { fleet, serverReach, askPeer, log } = this.#options;
    const [isReached, peerFinding] = await Promise.all([
      serverReach.confirm(entry),
      askPeer(entry.id),
    ]);
    const isRefusedElsewhere = peerFinding === undefined || peerFinding === 'refused';
    if (isReached && isRefusedElsewhere) {
      fleet.recordEnd(entry, evidence);
      return;
    }
    log.info('A refused connection is not taken for the end of the server.', {
      id: entry.id,
      evidence,
      isAnotherServerReached: isReached,
      peerFinding,
    });
  }
}
