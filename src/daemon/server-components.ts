/**
 * The components by which an instance observes backend servers: which are registered, whether they can be
 * reached and work, how long they take, and which requests end them.
 */
import { AccountShares } from '../admission/account-shares.js';
import type { Address } from '../common/address.js';
import { probeConnection } from '../common/connection-probe.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import { CrashBlame } from '../evidence/crash-blame.js';
import { CrashRecords } from '../evidence/crash-records.js';
import { EvidenceChanges } from '../evidence/evidence-changes.js';
import { EngineReports } from '../evidence/engine-reports.js';
import { PromptPartRecords } from '../evidence/prompt-part-records.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import { StallDetector } from '../evidence/stall-detector.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import { CallTimes } from '../fleet/call-times.js';
import { EndCheck } from '../fleet/end-check.js';
import { OutlierEjection } from '../fleet/outlier-ejection.js';
import { ServerLimits } from '../fleet/server-limits.js';
import { ServerPace } from '../fleet/server-pace.js';
import { ServerReach } from '../fleet/server-reach.js';
import { StatementRecorder } from '../fleet/server-statements.js';
import type { PeerTable } from '../gossip/peer-table.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { createPeerInquiry } from './peer-inquiry.js';
import { ServerHealth } from './server-health.js';

/** Options of {@link ServerComponents}. */
export interface ServerComponentsOptions {
  /** The id of this instance. */
  readonly instance: string;
  readonly dataCentre: string;
  /** How long after a disturbance of its connections this instance must know again what holds. */
  readonly contactMilliseconds: number;
  readonly protocol: ProtocolAdapter;
  readonly configuration: ActiveConfiguration;
  readonly peers: PeerTable;
  /** Reads a document from a peer. */
  readonly fetch: (peer: Address, path: string, timeoutMilliseconds: number) => Promise<unknown>;
  /** Called when there is news that peers should know at once. */
  readonly onNews: () => void;
  readonly logs: LoggerFactory;
  /** Ends the components' tasks. */
  readonly signal: AbortSignal;
}

/** Time between two checks of streams for stalls. */
export const STALL_CHECK_INTERVAL_MILLISECONDS = 70;
/** A cut may reset connections this long before one can't be made. */
const CUT_NOTICE_MILLISECONDS = 500;

/** The components that observe backend servers. */
export class ServerComponents {
  readonly #options: ServerComponentsOptions;

  readonly callTimes = new CallTimes();

  /** Requests in progress by client account. */
  readonly accountShares = new AccountShares();

  readonly fleet: BackendFleet;

  readonly outlierEjection: OutlierEjection;

  readonly serverReach: ServerReach;

  readonly endCheck: EndCheck;

  readonly serverLimits: ServerLimits;

  readonly serverPace: ServerPace;

  readonly statements: StatementRecorder;

  readonly engineReports: EngineReports;

  readonly crashBlame: CrashBlame;

  readonly evidenceChanges: EvidenceChanges;

  readonly stallDetector: StallDetector;

  readonly serverHealth: ServerHealth;

  constructor(options: ServerComponentsOptions) {
    this.#options = options;
    const { instance, contactMilliseconds, protocol, peers, logs } = options;
    this.fleet = this.#createFleet();
    this.outlierEjection = new OutlierEjection({
      log: logs('backend'),
      onEjected: () => options.onNews(),
      onReadmitted: (id) => this.serverPace.recordReadmission(id),
      isCut: () => this.serverReach.isCut,
    });
    this.serverReach = this.#createServerReach();
    this.endCheck = this.#createEndCheck();
    this.serverLimits = new ServerLimits({
      instance,
      listPeers: () => peers.allRecords.map((record) => record.instance),
      contactMilliseconds,
      log: logs('backend'),
    });
    this.serverPace = this.#createServerPace();
    const { fleet, serverLimits } = this;
    this.statements = new StatementRecorder({ fleet, serverLimits, log: logs('routing') });
    this.engineReports = new EngineReports({ protocol, statements: this.statements, fleet });
    this.crashBlame = this.#createCrashBlame();
    this.evidenceChanges = new EvidenceChanges(this.crashBlame);
    this.stallDetector = this.#createStallDetector();
    this.serverHealth = this.#createServerHealth();
  }

  #createFleet(): BackendFleet {
    return new BackendFleet({
      log: this.#options.logs('backend'),
      onEnded: (processKey) => this.crashBlame.recordEndedServer(processKey),
      onRegistered: () => this.serverPace.noteRegistration(),
      onRestarted: (id) => {
        this.outlierEjection.forget(id);
        this.callTimes.forget(id);
        this.serverLimits.forget(id);
      },
    });
  }

  #createServerPace(): ServerPace {
    const { instance, dataCentre, peers, configuration, logs } = this.#options;
    return new ServerPace({
      instance: { name: instance, dataCentre },
      listPeers: () =>
        peers.aliveRecords
          .filter((peer) => peer.isReady && !peer.isStopping && peer.isCutFromServers !== true)
          .map((peer) => ({ name: peer.instance, dataCentre: peer.dataCentre })),
      listServers: () => this.fleet.servers,
      fleetEra: () => this.fleet.era,
      isEjected: (id) => this.outlierEjection.isEjected(id),
      findProfile: (service) => configuration.current?.services.get(service)?.engine,
      log: logs('backend'),
    });
  }

  #createServerReach(): ServerReach {
    const { logs, signal } = this.#options;
    return new ServerReach({
      listServers: () => this.fleet.servers.map(({ entry }) => entry),
      probe: ({ address }) => probeConnection(address),
      onChange: (isCut) => this.#applyReach(isCut),
      log: logs('backend'),
      signal,
    });
  }

  #createEndCheck(): EndCheck {
    const { peers, fetch, logs, signal } = this.#options;
    return new EndCheck({
      fleet: this.fleet,
      serverReach: this.serverReach,
      askPeer: createPeerInquiry({ listPeers: () => peers.aliveRecords, fetch }),
      log: logs('backend'),
      signal,
    });
  }

  #createCrashBlame(): CrashBlame {
    const { peers, onNews, logs } = this.#options;
    const promptParts = new PromptPartRecords({
      countInstances: () => peers.aliveCount + 1,
      onNews,
      log: logs('routing'),
    });
    const contents = new CrashRecords({
      isExplained: (processKey) => promptParts.explains(processKey),
      log: logs('routing'),
    });
    return new CrashBlame({ contents, promptParts });
  }

  #createStallDetector(): StallDetector {
    return new StallDetector({
      reports: this.engineReports,
      fleet: this.fleet,
      outlierEjection: this.outlierEjection,
      endCheck: this.endCheck,
      serverReach: this.serverReach,
      log: this.#options.logs('routing'),
      checkIntervalMilliseconds: STALL_CHECK_INTERVAL_MILLISECONDS,
    });
  }

  #createServerHealth(): ServerHealth {
    const { protocol, configuration } = this.#options;
    return new ServerHealth({
      fleet: this.fleet,
      outlierEjection: this.outlierEjection,
      endCheck: this.endCheck,
      serverLimits: this.serverLimits,
      statements: this.statements,
      protocol,
      callTimes: this.callTimes,
      configuration,
    });
  }

  /** Acts on the loss of the links to all servers, and on their return. */
  #applyReach(isCut: boolean): void {
    const { failingSince } = this.serverReach;
    if (isCut) this.outlierEjection.withdrawSince(failingSince - CUT_NOTICE_MILLISECONDS);
    this.#options.onNews();
  }
}
