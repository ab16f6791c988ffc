/**
 * Stand-in for the platform's object API: versioned objects, conditional updates and watches. It
 * counts each kind of call and can simulate outages, slow responses, lost responses and stale
 * reads.
 */
import { sendJson, startStandIn, type StandInRequest, type StandInServer } from './http-server.js';

interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Faults that a test or experiment can switch on; all are off initially. */
export interface ObjectApiFaults {
  /** Closes the connection of every call without a response. */
  outage: boolean;
  /** Delay before each response, in milliseconds. */
  delayMilliseconds: number;
  /** This many of the next writes take effect, but their connections close without a response. */
  loseWriteAnswers: number;
  /** Reads return the state as of this store version; 0 means the latest. */
  staleVersion: number;
}

export interface ObjectApiStandIn extends StandInServer {
  readonly faults: ObjectApiFaults;
  readonly calls: { read: number; write: number; watch: number };
  /** Returns the current store version, which every write increments. */
  readonly version: () => number;
  /** Reads the current value of an object, unaffected by the faults. */
  readonly peek: (key: string) => unknown;
  /** Returns every value that was written to an object, oldest first. */
  readonly listWrittenValues: (key: string) => readonly unknown[];
  /**
   * Sets an object back to its previous value without notifying watches, as a store that is
   * restored from a backup does.
   */
  readonly revertLastWrite: (key: string) => void;
}

const MAXIMUM_VALUE_BYTES = 1024 * 1024;
/** The interval at which a waiting watch checks whether its client is still connected. */
const WATCH_POLL_MILLISECONDS = 500;

/**
 * Starts a stand-in object API.
 *
 * @param port - The port to listen on; 0 selects a free one.
 * @returns The running stand-in with its faults and call counters.
 */
export async function startObjectApi(port = 0): Promise<ObjectApiStandIn> {
  const writeLog: { version: number; key: string; object: StoredObject | undefined }[] = [];
  const objects = new Map<string, StoredObject>();
  const waitingWatches = new Set<() => void>();
  const faults: ObjectApiFaults = {
    outage: false,
    delayMilliseconds: 0,
    loseWriteAnswers: 0,
    staleVersion: 0,
  };
  const calls = { read: 0, write: 0, watch: 0 };
  let storeVersion = 0;

  const waitForWrite = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        waitingWatches.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      waitingWatches.add(wake);
    });

  const getReadableObjects = (): Map<string, StoredObject> => {
    if (faults.staleVersion === 0) return objects;
    const old = new Map<string, StoredObject>();
    writeLog
      .filter((entry) => entry.version <= faults.staleVersion)
      .forEach((entry) => {
        if (entry.object) old.set(entry.key, entry.object);
        else old.delete(entry.key);
      });
    return old;
  };

  const recordWrite = (key: string, object: StoredObject | undefined): void => {
    writeLog.push({ version: storeVersion, key, object });
    if (object) objects.set(key, object);
    else objects.delete(key);
    [...waitingWatches].forEach((wake) => wake());
  };

  const handleWrite = (request: StandInRequest, key: string): void => {
    calls.write += 1;
    const current = objects.get(key);
    const expected = request.headers['if-match'];
    const mustBeAbsent = request.headers['if-none-match'] === '*';
    const isConditionMet =
      (!mustBeAbsent || !current) &&
      (expected === undefined || (current && String(current.version) === expected));
    if (!isConditionMet) {
      sendJson(request.response, 412, { version: current?.version ?? 0 });
      return;
    }
    if (Buffer.byteLength(request.body) > MAXIMUM_VALUE_BYTES) {
      sendJson(request.response, 413, { error: 'value too large' });
      return;
    }
    const nextVersion = storeVersion + 1;
    const object =
      request.method === 'PUT'
        ? { key, version: nextVersion, value: JSON.parse(request.body) as unknown }
        : undefined;
    storeVersion = nextVersion;
    recordWrite(key, object);
    if (faults.loseWriteAnswers > 0) {
      faults.loseWriteAnswers -= 1;
      request.response.destroy();
      return;
    }
    sendJson(request.response, 200, { version: storeVersion });
  };

  const handleRead = (request: StandInRequest, key: string): void => {
    calls.read += 1;
    const object = getReadableObjects().get(key);
    if (object) sendJson(request.response, 200, object);
    else sendJson(request.response, 404, { version: 0 });
  };

  const handleList = (request: StandInRequest): void => {
    calls.read += 1;
    const prefix = request.query.get('prefix') ?? '';
    const matching = [...getReadableObjects().values()].filter((object) =>
      object.key.startsWith(prefix),
    );
    sendJson(request.response, 200, {
      version: faults.staleVersion || storeVersion,
      objects: matching,
    });
  };

  const handleWatch = async (request: StandInRequest): Promise<void> => {
    calls.watch += 1;
    const prefix = request.query.get('prefix') ?? '';
    const since = Number(request.query.get('since') ?? 0);
    const timeout = Number(request.query.get('timeoutMilliseconds') ?? 1000);
    const listChanges = (): unknown[] =>
      writeLog
        .filter((entry) => entry.version > since && entry.key.startsWith(prefix))
        .map((entry) => entry.object ?? { key: entry.key, version: entry.version, value: null });
    const deadline = Date.now() + timeout;
    while (listChanges().length === 0 && Date.now() < deadline && !request.response.destroyed) {
      await waitForWrite(Math.min(WATCH_POLL_MILLISECONDS, deadline - Date.now()));
    }
    if (faults.outage) request.response.destroy();
    else sendJson(request.response, 200, { version: storeVersion, objects: listChanges() });
  };

  const handleControl = (request: StandInRequest): void => {
    if (request.method === 'POST') Object.assign(faults, JSON.parse(request.body) as object);
    if (faults.outage) [...waitingWatches].forEach((wake) => wake());
    sendJson(request.response, 200, { faults, calls, version: storeVersion });
  };

  const server = await startStandIn(port, async (request) => {
    if (request.path === '/control') {
      handleControl(request);
      return;
    }
    if (faults.outage) {
      request.response.destroy();
      return;
    }
    if (faults.delayMilliseconds > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, faults.delayMilliseconds);
      });
    }
    if (request.path === '/watch') {
      await handleWatch(request);
      return;
    }
    if (request.path === '/objects') {
      handleList(request);
      return;
    }
    const key = decodeURIComponent(request.path.slice('/objects/'.length));
    if (request.method === 'GET') handleRead(request, key);
    else handleWrite(request, key);
  });
  return {
    ...server,
    faults,
    calls,
    version: () => storeVersion,
    peek: (key) => objects.get(key)?.value,
    revertLastWrite: (key) => {
      const [, previous] = writeLog.filter((entry) => entry.key === key).reverse();
      storeVersion += 1;
      if (previous?.object) objects.set(key, { ...previous.object, version: storeVersion });
    },
    listWrittenValues: (key) =>
      writeLog
        .filter((entry) => entry.key === key && entry.object)
        .map((entry) => entry.object?.value),
  };
}
