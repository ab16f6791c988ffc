/** Settings and faults of the stand-in engines, and the message that they send to each other. */
import type { EngineRoute, EngineTask } from '../../src/backend/engine-protocol.js';

/** The request to compute one token, sent to a stage, which forwards it to the next one. */
export interface StepMessage {
  readonly task: Omit<EngineTask, 'route' | 'produced'>;
  readonly position: number;
  readonly contextTokens: number;
  readonly activation: number;
  /** The stage that receives this message, followed by the later stages. */
  readonly route: EngineRoute;
  /** The index, in the complete route, of the stage that receives this message. */
  readonly stageIndex: number;
}

/** Settings of one stand-in engine. */
export interface EngineSettings {
  readonly id: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly totalLayers: number;
  /** The first layer that the engine holds. */
  readonly from: number;
  /** The layer after the last one that the engine holds. */
  readonly to: number;
  readonly accelerator: string;
  readonly slots: number;
  /** Generations that may wait for a slot; further ones are answered with status 429. */
  readonly queueLimit: number;
  readonly stepMilliseconds: number;
  readonly prefillTokensPerMillisecond: number;
  readonly dataCentre: string;
  /** The one-way delay to each other data centre. */
  readonly linkMilliseconds: Readonly<Record<string, number>>;
  /** Whether orders with an outdated fencing number are refused. */
  readonly checksFencing: boolean;
  /** The duration of loading a model version, without fetching its weights. */
  readonly loadMilliseconds: number;
  /** The number of prompt blocks that the prefix cache holds. */
  readonly cacheEntries: number;
  /** The shortest time between two updates of the load figures in `/status`. */
  readonly loadReportLagMilliseconds: number;
  /** The weight store to fetch weights from; without one, a load fetches nothing. */
  readonly weightStore?: { readonly host: string; readonly port: number };
}

/** Default settings of a stand-in engine. */
export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
  id: 'engine',
  model: 'drafting',
  version: '1',
  adapter: '',
  totalLayers: 8,
  from: 0,
  to: 8,
  accelerator: 'fast',
  slots: 8,
  queueLimit: 8,
  stepMilliseconds: 2,
  prefillTokensPerMillisecond: 10,
  dataCentre: 'dc-a',
  linkMilliseconds: {},
  checksFencing: true,
  loadMilliseconds: 50,
  cacheEntries: 64,
  loadReportLagMilliseconds: 0,
};

/** Faults that a test or experiment can switch on. */
export interface EngineFaults {
  /** Suspends all processing, with connections kept open, until this is reset. */
  frozen: boolean;
  /** The factor by which steps and prefills are slowed down. */
  slowness: number;
  /** Additional one-way delay of each message to the next stage, and of its response. */
  linkDelayMilliseconds: number;
  /** Reports that the engine is leaving and refuses new generations with status 503. */
  leaving: boolean;
  /** Runs the layers of the next step twice and sends its receipts twice. */
  repeatLayers: boolean;
  /** Sends the next token event twice. */
  duplicateToken: boolean;
}

/** The initial state: no fault is active. */
export const NO_ENGINE_FAULTS: EngineFaults = {
  frozen: false,
  slowness: 1,
  linkDelayMilliseconds: 0,
  leaving: false,
  repeatLayers: false,
  duplicateToken: false,
};
