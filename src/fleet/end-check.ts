/**
 * Finds out whether a backend server has ended. A live server may break off one answer, and a reset on the
 * way looks the same, so the server's host is asked with a new connection that carries no request. A refused
 * connection may be this instance's own loss of links, so that it shows an end only if this instance still
 * reaches another server, and a peer is refused as well. Handles many servers that end at a time: while the
 * others or the peer can't be asked, the question is asked again.
 */
import { sleep } from '../common/clock.js';
import { probeConnection, type ConnectionResult } from '../common/connection-probe.js';
import type { Logger } from '../telemetry/log.js';
import type { BackendFleet } from './backend-fleet.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';
import type { ServerReach } from './server-reach.js';

/** What a peer finds at a server; undefined if there is no peer to ask, or it doesn't answer. */
export type PeerFinding = ConnectionResult | undefined;

/** What is found of a server's process; `unknown` if a connection shows neither its life nor its end. */
export type ServerLife = 'alive' | 'ended' | 'unknown';

/** The connections that are made to find out whether a process is alive. */
interface LifeQuestion {
  readonly running: Promise<ServerLife>;
  /** Asked once the running one is answered, for those that came meanwhile. */
  next?: Promise<ServerLife>;
}

/** Options of {@link EndCheck}. */
export interface EndCheckOptions {
  readonly fleet: BackendFleet;
  readonly serverReach: ServerReach;
  /** Asks a peer to connect to a server. */
  readonly askPeer: (serverId: string) => Promise<PeerFinding>;
  readonly log: Logger;
  /** Ends the checks that are to come. */
  readonly signal: AbortSignal;
}

/** When a refusal that could not be confirmed is looked at again, each from the one before. */
export const CONFIRMATION_DELAYS_MILLISECONDS = [200, 400, 800, 1600];
/** A process that is ending may accept a connection just before it closes all of them. */
const HOLD_MILLISECONDS = 50;
const MAXIMUM_CONNECTIONS = 2;
/** A process that has ended accepts no connection any more after this long. */
const ENDING_MILLISECONDS = 100;

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

  /** Processes whose refusal is to be looked at again. */
  readonly #unconfirmed = new Set<string>();

  readonly #lifeQuestions = new Map<string, LifeQuestion>();

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

  /**
   * Finds out whether a server's process is alive now, with a connection that is not begun before the call.
   * Handles servers whose answers end with their connections: at most one such connection to a process is open
   * at a time. A connection tells nothing of a process that has taken the place of another one meanwhile,
   * unless the registry does.
   *
   * @param entry - The entry of that process.
   * @returns `alive` only if it accepts a connection; a refusal goes the way of {@link EndCheck.recordRefusal}.
   */
  findLife(entry: ServerEntry): Promise<ServerLife> {
    const question = this.#lifeQuestions.get(getProcessKey(entry));
    if (!question) return this.#askLife(entry);
    question.next ??= question.running.then(() => this.#askLife(entry));
    return question.next;
  }

  /**
   * Whether a server's process has refused a connection, and that is still to be confirmed as its end.
   *
   * @param processKey - As `getProcessKey` returns it.
   */
  isUnconfirmed(processKey: string): boolean {
    return this.#unconfirmed.has(processKey);
  }

  #askLife(entry: ServerEntry): Promise<ServerLife> {
    const processKey = getProcessKey(entry);
    const running = this.#probeLife(entry).finally(() => this.#lifeQuestions.delete(processKey));
    this.#lifeQuestions.set(processKey, { running });
    return running;
  }

  async #probeLife(entry: ServerEntry): Promise<ServerLife> {
    const { fleet, signal } = this.#options;
    const processKey = getProcessKey(entry);
    if (fleet.hasEnded(processKey)) return 'ended';
    let result = await probeServer(entry);
    if (result === 'closed') {
      // Either it is ending, or it has as many connections as it accepts.
      await sleep(ENDING_MILLISECONDS, signal);
      result = await probeServer(entry);
    }
    if (result === 'refused')
      void this.recordRefusal(entry, 'a connection was refused right after an answer had ended');
    if (fleet.hasEnded(processKey)) return 'ended';
    return result === 'held' || result === 'closed' ? 'alive' : 'unknown';
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
    if (await this.#isConfirmed(entry, evidence)) this.#options.fleet.recordEnd(entry, evidence);
    else void this.#confirmLater(entry, evidence);
  }

  /** Looks at a refusal again until it is confirmed, or the server accepts a connection. */
  async #confirmLater(entry: ServerEntry, evidence: string): Promise<void> {
    const { fleet, signal } = this.#options;
    const processKey = getProcessKey(entry);
    if (this.#unconfirmed.has(processKey)) return;
    this.#unconfirmed.add(processKey);
    for (const delayMilliseconds of CONFIRMATION_DELAYS_MILLISECONDS) {
      await sleep(delayMilliseconds, signal);
      if (signal.aborted || fleet.hasEnded(processKey)) break;
      if ((await probeServer(entry)) === 'held') break;
      if (await this.#isConfirmed(entry, evidence)) {
        fleet.recordEnd(entry, evidence);
        break;
      }
    }
    this.#unconfirmed.delete(processKey);
  }

  async #isConfirmed(entry: ServerEntry, evidence: string): Promise<boolean> {
    const { serverReach, askPeer, log } = this.#options;
    const [isReached, peerFinding] = await Promise.all([
      serverReach.confirm(entry),
      askPeer(entry.id),
    ]);
    const isRefusedElsewhere = peerFinding === undefined || peerFinding === 'refused';
    if (isReached && isRefusedElsewhere) return true;
    log.info('A refused connection is not taken for the end of the server.', {
      id: entry.id,
      evidence,
      isAnotherServerReached: isReached,
      peerFinding,
    });
    return false;
  }
}
