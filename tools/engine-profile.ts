/** An engine profile for tests of placement and chain choice. */
import type { EngineProfile } from '../src/entry/serving-configuration.js';

/** 80 layers and three kinds of accelerator; the one with the most memory is the fastest. */
export const ENGINE_PROFILE: EngineProfile = {
  layerCount: 80,
  layerMegabytes: 1750,
  modelName: 'model',
  loadMilliseconds: 14_000,
  concurrentLoads: 6,
  stepMilliseconds: 0.85,
  stepMillisecondsPerRequest: 0.004,
  tokensPerEvent: 2,
  prefillTokensPerMillisecond: 252,
  kvCacheBytesPerToken: 657_671,
  activationBytesPerToken: 32_811,
  dataCentreLinkMegabitsPerSecond: 7900,
  typicalPromptTokens: 772,
  typicalOutputTokens: 154,
  acceleratorKinds: new Map([
    ['large', { name: 'large', memoryMegabytes: 36_000, decodeFactor: 3, prefillFactor: 3 }],
    ['middle', { name: 'middle', memoryMegabytes: 21_600, decodeFactor: 16, prefillFactor: 8 }],
    ['small', { name: 'small', memoryMegabytes: 14_400, decodeFactor: 15, prefillFactor: 15 }],
  ]),
};
