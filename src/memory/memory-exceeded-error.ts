/** Code of {@link MemoryExceededError}, which also tells it from errors of the system. */
export const MEMORY_EXCEEDED_CODE = 'ERR_MEMORY_BUDGET';

/** Content was given up, since an instance held too many bytes for all requests together. */
export class MemoryExceededError extends Error {
  readonly code = MEMORY_EXCEEDED_CODE;

  constructor() {
    super('Cut off: the instance holds as many bytes as it may.');
    this.name = 'MemoryExceededError';
  }
}
