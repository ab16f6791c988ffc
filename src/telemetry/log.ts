/** Structured logs: a short message, prefixed with the component that writes it, and fields. */
import bunyan from 'bunyan';

/** The components that write logs. */
export const LOG_COMPONENTS = [
  'daemon',
  'caller',
  'operator',
  'routing',
  'pipeline',
  'backend',
  'platform',
  'configuration',
  'peer',
  'claims',
  'placement',
] as const;
export type LogComponent = (typeof LOG_COMPONENTS)[number];

type LogFields = Readonly<Record<string, unknown>>;

/** Writes the log of one component. */
export interface Logger {
  readonly debug: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
}

/** Returns the logger of a component. */
export type LoggerFactory = (part: LogComponent) => Logger;

/** Options of {@link createLoggerFactory}. */
export interface LoggerOptions {
  /** Name of the instance, written with each line. */
  readonly instance: string;
  /** The lowest level that is written. */
  readonly level: bunyan.LogLevelString;
  /** Standard output by default. */
  readonly stream?: NodeJS.WritableStream;
}

/**
 * Creates the loggers of the process; all share one stream and one level.
 *
 * @returns A function that returns the logger of a component.
 */
export function createLoggerFactory(options: LoggerOptions): LoggerFactory {
  const { instance, level, stream = process.stdout } = options;
  const logger = bunyan.createLogger({ name: 'sesamedyked', instance, level, stream });
  return (part) => {
    const prefix = `[${part}] `;
    return {
      debug: (message, fields = {}) => logger.debug(fields, prefix + message),
      info: (message, fields = {}) => logger.info(fields, prefix + message),
      warn: (message, fields = {}) => logger.warn(fields, prefix + message),
      error: (message, fields = {}) => logger.error(fields, prefix + message),
    };
  };
}

const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Returns a logger that writes nothing. */
export function createSilentLogger(): Logger {
  return SILENT_LOGGER;
}
