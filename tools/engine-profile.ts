/** A model engine's profile for tests of placement and chains. */
import type { EngineProfile } from '../src/entry/serving-configuration.js';

/** 80 layers over three sizes of accelerator; the largest is the fastest. */
export const ENGINE_PROFILE: EngineProfile = {
  layerCount: 80,
  layerMegabytes: 1750,
  modelName: 'model',
  loadMilliseconds: 14_000,
  concurrentLoads: 6,
  stepMilliseconds: 0.85,
  stepMillisecondsPerRequest: 0.004,
  readTokensPerMillisecond: 252,
  cacheBytesPerToken: 657_671,
  activationBytesPerToken: 32_811,
  crossLinkMegabitsPerSecond: 7900,
  usualPromptTokens: 772,
  usualAnswerTokens: 154,
  kinds: new Map([
    ['large', { name: 'large', memoryMegabytes: 36_000, stepFactor: 3, readFactor: 3 }],
    ['middle', { name: 'middle', memoryMegabytes: 21_600, stepFactor: 16, readFactor: 8 }],
    ['small', { name: 'small', memoryMegabytes: 14_400, stepFactor: 15, readFactor: 15 }],
  ]),
};
