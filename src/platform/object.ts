/** The objects of the platform's object API, and the results of reading and writing them. */
import { z } from 'zod';

/** One versioned object. */
export const PlatformObject = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});
export type PlatformObject = z.infer<typeof PlatformObject>;

/** The objects under a prefix, at one version of the whole store. */
export const PlatformObjects = z.object({
  version: z.number().int(),
  objects: z.array(PlatformObject),
});
export type PlatformObjects = z.infer<typeof PlatformObjects>;

/** The result of reading one object. */
export type ReadResult =
  | { readonly kind: 'found'; readonly object: PlatformObject }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly message: string };

/** The result of reading or watching a prefix. */
export type ListResult =
  | { readonly kind: 'listed'; readonly version: number; readonly objects: PlatformObject[] }
  | { readonly kind: 'unavailable'; readonly message: string };

/**
 * The result of a conditional write. `unavailable` means that it certainly has no effect;
 * `unknown` means that it may have been applied, or may still be applied later.
 */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

/** The expected version of an object that must not exist yet. */
export const ABSENT_VERSION = 0;

/** The number of calls to the object API, by kind. A watch counts once, however long it waits. */
export interface PlatformCallCounts {
  reads: number;
  writes: number;
  watches: number;
}
