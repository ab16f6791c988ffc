/** Faults of the stand-in for a backend server. */

/** Faults that a test can switch on. */
export interface ServerFaults {
  /** Accepts every request, but never answers. */
  neverAnswers: boolean;
  /** Sends nothing while it is set, and goes on with what it runs afterwards. */
  isSilent: boolean;
  /** Refuses every request that it would run, with status 503, and marks it as not executed. */
  refusesAll: boolean;
  /** Breaks each stream off in the middle of the event that follows this many complete events. */
  breaksStreamAfterEvents: number;
  /** Sends no further event of a stream after this many, but single bytes of one, without an end. */
  tricklesAfterEvents: number;
  /** Runs each request, but closes the connection without a response. */
  closesWithoutAnswer: boolean;
  /** Puts the id of another request into each response. */
  sendsWrongRequestId: boolean;
  /** Sends an unrequested second response on the connection after each response to a call. */
  sendsExtraResponse: boolean;
  /**
   * Answers each request with this status and the request's id, but without a signature and without
   * running it, as another program at the server's address might; 0 means normal operation.
   */
  unsignedStatus: number;
  /** How long a call runs before it is answered. */
  callMilliseconds: number;
  /** Crashes on each request whose body equals this text. */
  crashingBody: string | undefined;
  /** Crashes each time it begins to write a stream whose prompt has this part, other than as the last. */
  crashingPromptPart: string | undefined;
  /** How long an engine reads a prompt before it begins to write. */
  readingMilliseconds: number;
  /** How its answers without a length and without chunks end; undefined means that they have either. */
  unframedEnd: UnframedEnd | undefined;
  /** How many events of a stream it still sends before it crashes on such a request. */
  eventsBeforeCrash: number;
  /** After a crash it starts again under its id this much later; undefined means never. */
  restartMilliseconds: number | undefined;
  /** What it names as `Server-Limit` in all its answers to callers' requests. */
  namedLimit: string | undefined;
  /** Runs calls and answers them with this status, if it isn't 0. */
  failedStatus: number;
  /** Says in all its answers to callers' requests that it leaves, as its entry may or may not. */
  saysThatItLeaves: boolean;
  /** The `Retry-After` of its refusals. */
  namedPause: string | undefined;
  /** Refuses health checks, reports and orders as well. */
  refusesProbes: boolean;
  /** Ends in order, as a process that exits does, after this many events of a stream. */
  closesBetweenEvents: number;
  /**
   * Ends in order, as a process that exits does, in the middle of a call's answer that has no length; where
   * `crashingBody` is set, only on calls with that body.
   */
  endsWithinCall: boolean;
  /** Withdraws its entry from the store when it has begun a stream, and goes on serving. */
  unregistersWhileRunning: boolean;
}

/** How an answer that is delimited by its connection ends: whole, reset, or closed within an event. */
export type UnframedEnd = 'whole' | 'reset' | 'withinEvent';

/** A server without faults. */
export const NO_SERVER_FAULTS: Readonly<ServerFaults> = {
  neverAnswers: false,
  isSilent: false,
  refusesAll: false,
  breaksStreamAfterEvents: Number.POSITIVE_INFINITY,
  tricklesAfterEvents: Number.POSITIVE_INFINITY,
  closesWithoutAnswer: false,
  sendsWrongRequestId: false,
  sendsExtraResponse: false,
  unsignedStatus: 0,
  callMilliseconds: 0,
  crashingBody: undefined,
  crashingPromptPart: undefined,
  readingMilliseconds: 0,
  unframedEnd: undefined,
  eventsBeforeCrash: 0,
  restartMilliseconds: undefined,
  namedLimit: undefined,
  failedStatus: 0,
  saysThatItLeaves: false,
  namedPause: undefined,
  refusesProbes: false,
  closesBetweenEvents: Number.POSITIVE_INFINITY,
  endsWithinCall: false,
  unregistersWhileRunning: false,
};
