/**
 * Cuts an instance of a test off from chosen ports. The instance's process loads this module before its
 * program, and the test sends it messages; the program itself knows nothing of it.
 */
import net from 'node:net';

/**
 * How a cut shows: connections hang; they are reset, and so are new ones; or they live on while new ones
 * are refused.
 */
export type CutMode = 'silent' | 'reset' | 'refused';

/** A message that begins a cut, or ends it where it has no mode. */
export interface CutMessage {
  readonly ports: readonly number[];
  readonly mode?: CutMode;
  /** Connections whose open request has this path live on. */
  readonly exceptPath?: string;
}

/** What Node.js keeps of an open connection, as far as it is needed here. */
interface SocketHandle {
  readStart(): void;
  readStop(): void;
}
type SocketWithHandle = net.Socket & {
  _handle?: SocketHandle | null;
  /** The request that Node.js has open on it. */
  _httpMessage?: { readonly path?: string } | null;
};

const cutPorts = new Map<number, CutMode>();
const socketsByPort = new Map<number, Set<SocketWithHandle>>();

function createError(code: string): NodeJS.ErrnoException {
  return Object.assign(new Error(`connect ${code}`), { code });
}

function readPort(options: unknown): number | undefined {
  const [first] = Array.isArray(options) ? (options as unknown[]) : [options];
  if (typeof first !== 'object' || first === null || !('port' in first)) return undefined;
  return Number(first.port);
}

function remember(port: number, socket: SocketWithHandle): void {
  const sockets = socketsByPort.get(port) ?? new Set<SocketWithHandle>();
  socketsByPort.set(port, sockets.add(socket));
  socket.once('close', () => sockets.delete(socket));
}

const CONNECT_IN_CUT: Readonly<Record<CutMode, (socket: net.Socket) => unknown>> = {
  silent: () => undefined,
  reset: (socket) => process.nextTick(() => socket.destroy(createError('ECONNRESET'))),
  refused: (socket) => process.nextTick(() => socket.destroy(createError('ECONNREFUSED'))),
};

function getHandle({ _handle: handle }: SocketWithHandle): SocketHandle | null | undefined {
  return handle;
}

const BEGIN_CUT: Readonly<Record<CutMode, (socket: SocketWithHandle) => void>> = {
  // What arrives meanwhile waits, as segments that are sent again do.
  silent: (socket) => getHandle(socket)?.readStop(),
  reset: (socket) => socket.destroy(createError('ECONNRESET')),
  refused: () => undefined,
};

const connect = net.Socket.prototype.connect as (
  this: net.Socket,
  ...parameters: unknown[]
) => net.Socket;

function connectUnlessCut(this: net.Socket, ...parameters: unknown[]): net.Socket {
  const port = readPort(parameters[0]);
  if (port === undefined) return connect.apply(this, parameters);
  remember(port, this);
  const mode = cutPorts.get(port);
  if (mode === undefined) return connect.apply(this, parameters);
  CONNECT_IN_CUT[mode](Object.assign(this, { connecting: true }));
  return this;
}

net.Socket.prototype.connect = connectUnlessCut;

function getRequestPath({ _httpMessage: request }: SocketWithHandle): string | undefined {
  return request?.path;
}

process.on('message', ({ ports, mode, exceptPath }: CutMessage) => {
  ports.forEach((port) => {
    const previous = cutPorts.get(port);
    if (mode === undefined) cutPorts.delete(port);
    else cutPorts.set(port, mode);
    socketsByPort.get(port)?.forEach((socket) => {
      if (exceptPath !== undefined && getRequestPath(socket) === exceptPath) return;
      if (mode !== undefined) BEGIN_CUT[mode](socket);
      else if (previous === 'silent') getHandle(socket)?.readStart();
    });
  });
});
process.channel?.unref();
