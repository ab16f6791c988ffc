/**
 * Slow start: bounds the concurrent requests of a backend server that has just started or returned from ejection, for
 * all instances together, by a window that grows with its answers in time. Without it an empty server looks the best to
 * every instance at once until records of the others' requests arrive, and is flooded while its caches are cold; or it is
 * left idle where its first answers were slow.
 *
 * Each instance holds the windows as soft state and tells its peers; no instance is in charge. A server at its window is
 * avoided and not closed: it is used where no other can run the request, see `chooseReplica` and `listSpareAtWindow`.
 */
import { LruMap } from '../common/lru-map.js';
import type { FleetServer } from './fleet-server.js';
import { OpenWindow } from './open-window.js';
import {
  findMedianLoad,
  getCarriedRequests,
  hasAlternatives,
  type ComparedFleet,
} from './pace-comparison.js';
import { SharingInstances } from './pace-sharing.js';
import {
  ENDED_SHARED_MILLISECONDS,
  FULL_RATE,
  getInitialPlaces,
  getOwnPart,
  grow,
  hasEnded,
  isNewer,
  readWindow,
  reportWindows,
  shrink,
  type PaceWindow,
  type ReportedWindows,
} from './pace-window.js';
import { getProcessKey } from './server-entry.js';
import type { PacedAnswer, ServerPaceOptions, ShrinkReason } from './server-pace-options.js';
import { UsualLateness } from './usual-lateness.js';

/** Longer than a record takes to reach the peers of a usual fleet, so that most requests of a turn are known in the next. */
const TURN_MILLISECONDS = 1000;
const MAXIMUM_KNOWN_PROCESSES = 2000;

export class ServerPace {
  readonly #options: ServerPaceOptions;

  readonly #now: () => number;

  readonly #wallClock: () => number;

  readonly #sharing: SharingInstances;

  readonly #usualLateness: UsualLateness;

  /** By process; also those whose window has ended or was never opened. */
  readonly #known = new LruMap<string, PaceWindow>(MAXIMUM_KNOWN_PROCESSES);

  readonly #open = new Map<string, OpenWindow>();

  /** Processes whose windows have ended lately; peers are told that they have. */
  readonly #ended = new Set<string>();

  #hasObserved = false;

  /** Whether a process has become known since the last {@link observe}. */
  #hasNewProcess = false;

  #era: number | undefined;

  /** Called with the name of an event to count. */
  onEvent: ((event: string) => void) | undefined;

  constructor(options: ServerPaceOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#wallClock = options.wallClock ?? (() => Date.now());
    this.#usualLateness = new UsualLateness(this.#now);
    this.#sharing = new SharingInstances(options.instance, options.listPeers, this.#now);
  }

  /**
   * Opens windows for processes that have started, and ends those that are no longer needed. Processes of the first list
   * are taken to be at their full rate, and those that come with another copy of the store.
   */
  observe(): void {
    this.#hasNewProcess = false;
    const servers = this.#options.listServers();
    const era = this.#options.fleetEra();
    const isFirstList = !this.#hasObserved || era !== this.#era;
    this.#hasObserved ||= servers.length > 0;
    this.#era = era;
    const unknown = servers.filter(({ entry }) => !this.#known.get(getProcessKey(entry)));
    const fleet = this.#describeFleet(servers, new Set(unknown));
    unknown.forEach((server) => {
      if (isFirstList || !this.#hasAlternatives(server, fleet))
        this.#known.set(getProcessKey(server.entry), FULL_RATE);
      else this.#openWindow(server, FULL_RATE, 'started');
    });
    if (this.#open.size > 0) this.#updateWindows(servers);
    this.#ended.forEach((processKey) => {
      const changedAt = this.#known.get(processKey)?.changedAt ?? 0;
      if (this.#now() - changedAt > ENDED_SHARED_MILLISECONDS) this.#ended.delete(processKey);
    });
  }

  /** Notes that a process has become known, so that its window is open before the next request is sent. */
  noteRegistration(): void {
    this.#hasNewProcess = true;
  }

  /** Opens the window of a server that this instance had ejected and that has passed a health check. */
  recordReadmission(id: string): void {
    const servers = this.#options.listServers();
    const server = servers.find(({ entry }) => entry.id === id);
    if (!server || this.#open.has(getProcessKey(server.entry))) return;
    if (!this.#hasAlternatives(server, this.#describeFleet(servers, new Set()))) return;
    const known = this.#known.get(getProcessKey(server.entry)) ?? FULL_RATE;
    this.#openWindow(server, known, 'readmitted');
  }

  /** Whether a server has a window in effect and this instance has no place left in it. */
  isAtWindow(server: FleetServer): boolean {
    if (this.#hasNewProcess) this.observe();
    const open = this.#find(server);
    if (!open?.isInEffect) return false;
    const turn = this.#getTurn();
    open.updateTurn(turn);
    const { state, sentInTurn } = open;
    const { rank, instances, offset } = this.#sharing.getPlace(server.entry);
    if (rank < 0) return true;
    const freePlaces = state.places - getCarriedRequests(server) + sentInTurn;
    const { places } = state;
    return sentInTurn >= getOwnPart({ freePlaces, rank, instances, places, turn, offset });
  }

  /** Counts a request that this instance sends to a server; what it returns ends the count, once. */
  begin(server: FleetServer): () => void {
    const open = this.#find(server);
    if (!open) return () => undefined;
    open.updateTurn(this.#getTurn());
    return open.begin();
  }

  /** Records that a server answered, or that the first event of a stream has passed engines. */
  recordAnswer({ servers, sentAt, targetMilliseconds, hasAnswered = true }: PacedAnswer): void {
    const service = servers[0]?.entry.service ?? '';
    const elapsed = this.#now() - sentAt;
    const windows = servers.flatMap((server) => this.#find(server) ?? []);
    const isLate = this.#usualLateness.isLate(service, elapsed, targetMilliseconds);
    if (windows.length === 0 && hasAnswered)
      this.#usualLateness.record(service, elapsed, targetMilliseconds);
    windows
      .filter(({ countedSince }) => sentAt >= countedSince)
      .forEach((open) => {
        if (isLate) this.#shrink(open, 'late');
        else if (hasAnswered) {
          open.ownAnswers += 1;
          this.#growIfRoundIsComplete(open);
        }
      });
  }

  /** Records that a server refused or failed a request that was sent at a time on the monotonic clock. */
  recordFailure(server: FleetServer, sentAt: number, reason: 'refused' | 'failed'): void {
    const open = this.#find(server);
    if (open && sentAt >= open.countedSince) this.#shrink(open, reason);
  }

  /** The windows as reported to peers; the most recently changed ones, if there are many. */
  get reported(): ReportedWindows {
    const states = [...this.#open.keys(), ...this.#ended].flatMap((processKey) => {
      const state = this.#known.get(processKey);
      const answers = this.#open.get(processKey)?.ownAnswers ?? 0;
      return state ? [{ processKey, state, answers }] : [];
    });
    return reportWindows(states, this.#now());
  }

  /** Takes over the windows that a peer reports, where its state is the newer one, and its answers in the round. */
  merge(peer: string, reported: ReportedWindows): void {
    const now = this.#now();
    Object.entries(reported).forEach(([processKey, window]) => {
      const known = this.#known.get(processKey);
      if (!known) return;
      const { state, answers } = readWindow(window, now);
      if (isNewer(state, known, now)) this.#takeOver(processKey, state, peer);
      const open = this.#open.get(processKey);
      if (open?.state.round !== state.round || open.state.places !== state.places) return;
      open.setPeerAnswers(peer, answers);
      this.#growIfRoundIsComplete(open);
    });
  }

  #find({ entry }: FleetServer): OpenWindow | undefined {
    return this.#open.size === 0 ? undefined : this.#open.get(getProcessKey(entry));
  }

  #describeFleet(
    servers: readonly FleetServer[],
    started: ReadonlySet<FleetServer>,
  ): ComparedFleet {
    const isExcluded = (server: FleetServer): boolean =>
      started.has(server) ||
      this.#open.has(getProcessKey(server.entry)) ||
      server.ownWord.isLeaving ||
      this.#options.isEjected(server.entry.id);
    return { servers, isExcluded };
  }

  #hasAlternatives(server: FleetServer, fleet: ComparedFleet): boolean {
    return hasAlternatives(server, fleet, this.#options.findProfile(server.entry.service));
  }

  #updateWindows(servers: readonly FleetServer[]): void {
    const registered = new Set(servers.map(({ entry }) => getProcessKey(entry)));
    const fleet = this.#describeFleet(servers, new Set());
    this.#open.forEach((open, processKey) => {
      const { server, state } = open;
      if (!registered.has(processKey)) {
        this.#open.delete(processKey);
        return;
      }
      open.isInEffect = this.#hasAlternatives(server, fleet);
      // Without a round of answers in time, a load like that of the others may be of requests that hang.
      const { id, slots } = server.entry;
      if (state.places <= getInitialPlaces(slots) || this.#options.isEjected(id)) return;
      const median = findMedianLoad(server, fleet);
      if (median !== undefined && getCarriedRequests(server) >= median)
        this.#end(open, { ...state, round: state.round + 1, changedAt: this.#now() }, 'load');
    });
  }

  #getTurn(): number {
    return Math.floor(this.#wallClock() / TURN_MILLISECONDS);
  }

  #openWindow(server: FleetServer, before: PaceWindow, reason: 'started' | 'readmitted'): void {
    const places = getInitialPlaces(server.entry.slots);
    this.#add(server, { round: before.round + 1, places, changedAt: this.#now() });
    this.#logChange('opened', this.#open.get(getProcessKey(server.entry)), { reason });
  }

  #add(server: FleetServer, state: PaceWindow): void {
    const processKey = getProcessKey(server.entry);
    this.#known.set(processKey, state);
    this.#ended.delete(processKey);
    this.#open.set(processKey, new OpenWindow({ server, state, now: this.#now }));
  }

  #change(open: OpenWindow, state: PaceWindow): void {
    open.change(state);
    this.#known.set(open.processKey, state);
  }

  #shrink(open: OpenWindow, reason: ShrinkReason): void {
    const { places } = open.state;
    this.#change(open, shrink(open.state, open.server.entry.slots, this.#now()));
    if (open.state.places < places) this.#logChange('shrunk', open, { reason, before: places });
  }

  #growIfRoundIsComplete(open: OpenWindow): void {
    const { answers } = open;
    const { places } = open.state;
    if (answers < places) return;
    const grown = grow(open.state, open.server.entry.slots, this.#now());
    if (hasEnded(grown)) {
      this.#end(open, grown, 'slots');
      return;
    }
    this.#change(open, grown);
    this.#logChange('grown', open, { before: places, answers });
  }

  #end(open: OpenWindow, state: PaceWindow, reason: 'slots' | 'load'): void {
    this.#logChange('ended', open, { reason });
    this.#setEnded(open.processKey, state);
  }

  #setEnded(processKey: string, state: PaceWindow): void {
    this.#open.delete(processKey);
    this.#known.set(processKey, { ...state, places: Number.POSITIVE_INFINITY });
    this.#ended.add(processKey);
  }

  #takeOver(processKey: string, state: PaceWindow, peer: string): void {
    const open = this.#open.get(processKey);
    const before = open?.state.places;
    if (hasEnded(state)) {
      if (open) this.#logChange('taken_over', open, { peer, before, hasEnded: true });
      this.#setEnded(processKey, state);
      return;
    }
    if (open) this.#change(open, state);
    else {
      const server = this.#options
        .listServers()
        .find(({ entry }) => getProcessKey(entry) === processKey);
      if (server) this.#add(server, state);
    }
    this.#logChange('taken_over', this.#open.get(processKey), { peer, before });
  }

  #logChange(change: string, open: OpenWindow | undefined, fields: Record<string, unknown>): void {
    if (!open) return;
    const { server, state } = open;
    this.onEvent?.(`server_window_${change}`);
    this.#options.log.info(`Window of the backend server ${change.replace('_', ' ')}.`, {
      id: server.entry.id,
      incarnation: server.entry.incarnation,
      places: state.places,
      round: state.round,
      ageMilliseconds: Math.round(this.#now() - state.changedAt),
      carried: getCarriedRequests(server),
      slots: server.entry.slots,
      ...fields,
    });
  }
}
