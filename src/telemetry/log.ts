/** Structured logs: short sentences, each with the fixed prefix of the part that writes it. */
import bunyan from 'bunyan';

/** The parts that write logs. */
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

type Fields = Readonly<Record<string, unknown>>;

/** Writes one part's log. */
export interface Logger {
  readonly debug: (sentence: string, fields?: Fields) => void;
  readonly info: (sentence: string, fields?: Fields) => void;
  readonly warn: (sentence: string, fields?: Fields) => void;
  readonly error: (sentence: string, fields?: Fields) => void;
}

/** Gives each part its log. */
export type LoggerFactory = (part: LogComponent) => Logger;

/** Options of {@link createLoggerFactory}. */
export interface LoggerOptions {
  readonly instance: string;
  readonly level: bunyan.LogLevelString;
  readonly stream?: NodeJS.WritableStream;
}

/**
 * Makes the process's logs.
 *
 * @param options - The instance's name, the lowest level written and where to write.
 * @returns A factory of one log for each part.
 */
export function createLoggerFactory(options: LoggerOptions): LoggerFactory {
  const { instance, level, stream = process.stdout } = options;
  const logger = bunyan.createLogger({ name: 'sesamedyked', instance, level, stream });
  return (part) => {
    const prefix = `[${part}] `;
    return {
      debug: (sentence, fields = {}) => logger.debug(fields, prefix + sentence),
      info: (sentence, fields = {}) => logger.info(fields, prefix + sentence),
      warn: (sentence, fields = {}) => logger.warn(fields, prefix + sentence),
      error: (sentence, fields = {}) => logger.error(fields, prefix + sentence),
    };
  };
}

const SILENT: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/**
 * Gives a log that writes nothing.
 *
 * @returns The silent log.
 */
export function createSilentLogger(): Logger {
  return SILENT;
}
