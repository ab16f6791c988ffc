/**
 * Starts the deployment of an experiment and injects faults into it. Every engine and every
 * daemon is a process of its own; the object API and the instance list run in this process.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Address } from '../../src/common/address.js';
import { fetchResponse } from '../../src/common/http-client.js';
import { DaemonGroup, createLoopbackAddress, tryFetchJson, waitFor } from '../daemon-group.js';
import { findFreePorts } from '../ports.js';
import type { EngineSettings } from '../stand-ins/engine-protocol.js';
import { startInstanceList } from '../stand-ins/instance-list.js';
import { startObjectApi, type ObjectApiStandIn } from '../stand-ins/object-api.js';
import type { Experiment, Fault } from './specification.js';

const STAND_IN_PROGRAM = fileURLToPath(new URL('../stand-in-main.js', import.meta.url));

/** A running engine process and the settings that it was started with. */
export interface EngineProcess {
  readonly id: string;
  readonly address: Address;
  readonly settings: Partial<EngineSettings>;
  readonly child: ChildProcess;
}

/** A running deployment; `stop` ends all of its processes. */
export interface Deployment {
  readonly daemonGroup: DaemonGroup;
  readonly engines: readonly EngineProcess[];
  readonly objectApi: ObjectApiStandIn;
  readonly stop: () => Promise<void>;
}

/** Starts the engines of every group, spread over the data centres of the group in turn. */
async function startEngines(experiment: Experiment): Promise<EngineProcess[]> {
  const allDataCentres = [
    ...new Set(experiment.engines.flatMap((engineGroup) => engineGroup.dataCentres)),
  ];
  const engines: EngineProcess[] = [];
  for (const engineGroup of experiment.engines) {
    const ports = await findFreePorts(engineGroup.count);
    ports.forEach((port, index) => {
      const { count, dataCentres: groupDataCentres, ...sharedSettings } = engineGroup;
      const dataCentre = groupDataCentres[index % groupDataCentres.length] ?? 'dc-a';
      const otherDataCentres = allDataCentres.filter((name) => name !== dataCentre);
      const linkMilliseconds = Object.fromEntries(
        otherDataCentres.map((name) => [name, experiment.linkMilliseconds]),
      );
      const id = `engine-${engines.length}`;
      const settings = {
        ...sharedSettings,
        id,
        dataCentre,
        linkMilliseconds,
        loadReportLagMilliseconds: 500,
      };
      const json = JSON.stringify({ port, engine: settings });
      const child = spawn(process.execPath, [STAND_IN_PROGRAM, 'engine', json], {
        stdio: ['ignore', 'ignore', 'inherit'],
      });
      engines.push({ id, address: createLoopbackAddress(port), settings, child });
    });
  }
  return engines;
}

/**
 * Starts the engines and daemons of an experiment, applies the configuration, and waits until
 * the daemons are ready.
 *
 * @param experiment - Defines the engines, the instances and the client accounts.
 * @returns The running deployment, which the caller has to stop.
 */
export async function startDeployment(experiment: Experiment): Promise<Deployment> {
  const objectApi = await startObjectApi();
  const instanceList = await startInstanceList(1000);
  const engines = await startEngines(experiment);
  const daemonGroup = new DaemonGroup({
    objectApiPort: objectApi.port,
    instanceListPort: instanceList.port,
    settings: { timeLimits: { addressesKept: 2000 } },
  });
  for (const engine of engines) {
    await waitFor(
      `${engine.id} answers`,
      async () => (await tryFetchJson(engine.address, '/status')) !== undefined,
    );
    const dataCentre = engine.settings.dataCentre ?? 'dc-a';
    await daemonGroup.registerInstance({
      id: engine.id,
      kind: 'engine',
      port: engine.address.port,
      dataCentre,
    });
  }
  for (const dataCentre of experiment.instances) await daemonGroup.addDaemon({ dataCentre });
  const accounts = experiment.accounts.map((account) => [
    account.name,
    { class: account.class, requestsPerSecond: 100_000 },
  ]);
  await daemonGroup.configure({
    accounts: Object.fromEntries(accounts) as object,
    models: { drafting: { model: 'drafting', version: '1' } },
  });
  await daemonGroup.waitUntilReady(engines.length);
  const stop = async (): Promise<void> => {
    await daemonGroup.stop();
    engines.forEach((engine) => engine.child.kill('SIGKILL'));
    await Promise.all([objectApi.close(), instanceList.close()]);
  };
  return { daemonGroup, engines, objectApi, stop };
}

/** Sets faults in an engine process; does nothing if the experiment has no such engine. */
async function setEngineFaults(engine: EngineProcess | undefined, faults: object): Promise<void> {
  if (!engine) return;
  await fetchResponse({
    address: engine.address,
    method: 'POST',
    path: '/control',
    body: JSON.stringify(faults),
    timeoutMilliseconds: 1000,
  });
}

type InjectFault = (fault: Fault, deployment: Deployment) => Promise<void> | void;

const FAULT_INJECTORS: Readonly<Record<Fault['kind'], InjectFault>> = {
  'kill engine': (fault, { engines }) => {
    engines[fault.engine]?.child.kill('SIGKILL');
  },
  'freeze engine': (fault, { engines }) => {
    engines[fault.engine]?.child.kill('SIGSTOP');
  },
  'slow engine': (fault, { engines }) =>
    setEngineFaults(engines[fault.engine], { slowness: fault.amount }),
  'platform outage': ({ amount }, { objectApi }) => {
    objectApi.faults.outage = true;
    setTimeout(() => {
      objectApi.faults.outage = false;
    }, amount * 1000);
  },
  'kill data centre': ({ dataCentre }, { engines, daemonGroup }) => {
    engines
      .filter((engine) => engine.settings.dataCentre === dataCentre)
      .forEach((engine) => engine.child.kill('SIGKILL'));
    daemonGroup.daemons
      .filter((daemon) => daemon.dataCentre === dataCentre)
      .forEach((daemon) => daemon.getProcess().kill('SIGKILL'));
  },
};

/**
 * Injects a fault. A platform outage ends after its duration; the other faults last until the
 * deployment stops.
 *
 * @param fault - The kind of fault and what it affects.
 * @param deployment - The deployment that contains the affected engine or data centre.
 */
export async function injectFault(fault: Fault, deployment: Deployment): Promise<void> {
  await FAULT_INJECTORS[fault.kind](fault, deployment);
}
