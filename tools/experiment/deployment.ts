/** Starts an experiment's deployment: every engine and every daemon is a process. */
import { spawn, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Address } from '../../src/common/address.js';
import { fetchResponse } from '../../src/common/http-client.js';
import { DaemonGroup, onLoopback, readJson, waitFor } from '../daemon-group.js';
import { findFreePorts } from '../ports.js';
import type { EngineSettings } from '../stand-ins/engine-protocol.js';
import { startInstanceList } from '../stand-ins/instance-list.js';
import { startObjectApi, type ObjectApiStandIn } from '../stand-ins/object-api.js';
import type { Experiment, Fault } from './specification.js';

const STAND_IN = fileURLToPath(new URL('../stand-in-main.js', import.meta.url));

/** One engine process. */
export interface EngineProcess {
  readonly id: string;
  readonly address: Address;
  readonly settings: Partial<EngineSettings>;
  readonly child: ChildProcess;
}

/** A running deployment. */
export interface Deployment {
  readonly group: DaemonGroup;
  readonly engines: readonly EngineProcess[];
  readonly objectApi: ObjectApiStandIn;
  readonly stop: () => Promise<void>;
}

async function startEngines(experiment: Experiment): Promise<EngineProcess[]> {
  const dataCentres = [...new Set(experiment.engines.flatMap((group) => group.dataCentres))];
  const engines: EngineProcess[] = [];
  for (const group of experiment.engines) {
    const ports = await findFreePorts(group.count);
    ports.forEach((port, index) => {
      const { count, dataCentres: places, ...shared } = group;
      const dataCentre = places[index % places.length] ?? 'dc-a';
      const others = dataCentres.filter((one) => one !== dataCentre);
      const linkMilliseconds = Object.fromEntries(
        others.map((one) => [one, experiment.linkMilliseconds]),
      );
      const id = `engine-${engines.length}`;
      const settings = {
        ...shared,
        id,
        dataCentre,
        linkMilliseconds,
        loadReportLagMilliseconds: 500,
      };
      const json = JSON.stringify({ port, engine: settings });
      const child = spawn(process.execPath, [STAND_IN, 'engine', json], {
        stdio: ['ignore', 'ignore', 'inherit'],
      });
      engines.push({ id, address: onLoopback(port), settings, child });
    });
  }
  return engines;
}

/**
 * Starts a deployment and waits until it serves.
 *
 * @param experiment - What to start.
 * @returns The running deployment.
 */
export async function startDeployment(experiment: Experiment): Promise<Deployment> {
  const objectApi = await startObjectApi();
  const instanceList = await startInstanceList(1000);
  const engines = await startEngines(experiment);
  const group = new DaemonGroup({
    objectApiPort: objectApi.port,
    instanceListPort: instanceList.port,
    settings: { timeLimits: { addressesKept: 2000 } },
  });
  for (const engine of engines) {
    await waitFor(
      `${engine.id} answers`,
      async () => (await readJson(engine.address, '/status')) !== undefined,
    );
    const dataCentre = engine.settings.dataCentre ?? 'dc-a';
    await group.list({ id: engine.id, kind: 'engine', port: engine.address.port, dataCentre });
  }
  for (const dataCentre of experiment.instances) await group.addDaemon({ dataCentre });
  const accounts = experiment.accounts.map((account) => [
    account.name,
    { class: account.class, requestsPerSecond: 100_000 },
  ]);
  await group.configure({
    accounts: Object.fromEntries(accounts) as object,
    models: { drafting: { model: 'drafting', version: '1' } },
  });
  await group.waitReady(engines.length);
  const stop = async (): Promise<void> => {
    await group.stop();
    engines.forEach((engine) => engine.child.kill('SIGKILL'));
    await Promise.all([objectApi.close(), instanceList.close()]);
  };
  return { group, engines, objectApi, stop };
}

async function controlEngine(engine: EngineProcess | undefined, faults: object): Promise<void> {
  if (!engine) return;
  await fetchResponse({
    address: engine.address,
    method: 'POST',
    path: '/control',
    body: JSON.stringify(faults),
    timeoutMilliseconds: 1000,
  });
}

type CauseFault = (fault: Fault, deployment: Deployment) => Promise<void> | void;

const FAULTS: Readonly<Record<Fault['kind'], CauseFault>> = {
  'kill engine': (fault, { engines }) => {
    engines[fault.engine]?.child.kill('SIGKILL');
  },
  'freeze engine': (fault, { engines }) => {
    engines[fault.engine]?.child.kill('SIGSTOP');
  },
  'slow engine': (fault, { engines }) =>
    controlEngine(engines[fault.engine], { slowness: fault.amount }),
  'platform outage': ({ amount }, { objectApi }) => {
    objectApi.faults.outage = true;
    setTimeout(() => {
      objectApi.faults.outage = false;
    }, amount * 1000);
  },
  'kill data centre': ({ dataCentre }, { engines, group }) => {
    engines
      .filter((engine) => engine.settings.dataCentre === dataCentre)
      .forEach((engine) => engine.child.kill('SIGKILL'));
    group.daemons
      .filter((daemon) => daemon.dataCentre === dataCentre)
      .forEach((daemon) => daemon.child().kill('SIGKILL'));
  },
};

/**
 * Causes a fault.
 *
 * @param fault - Which one.
 * @param deployment - Where.
 */
export async function causeFault(fault: Fault, deployment: Deployment): Promise<void> {
  await FAULTS[fault.kind](fault, deployment);
}
