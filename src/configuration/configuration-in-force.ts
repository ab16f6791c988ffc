/** The configuration in force on this instance: the highest revision seen of each branch. */
import { EventEmitter } from 'node:events';
import type { Branch, ClientAccount, PlainService, ServedModel } from './branch.js';

/** A client account, with the team that it belongs to and the priority of that team. */
export interface AccountInForce {
  readonly id: string;
  readonly team: string;
  readonly priority: number;
  readonly account: ClientAccount;
}

/** Holds the highest revision of each branch. An older one is never applied, whatever its source. */
export class ConfigurationInForce {
  readonly #branches = new Map<string, Branch>();

  readonly #accounts = new Map<string, AccountInForce>();

  readonly #events = new EventEmitter();

  /** Whether at least one branch is in force. */
  get isReady(): boolean {
    return this.#branches.size > 0;
  }

  /** Every branch, sorted by team. */
  get branches(): Branch[] {
    return [...this.#branches.values()].sort((one, other) => one.team.localeCompare(other.team));
  }

  /**
   * Puts a branch in force if its revision is higher than that of the one in force.
   *
   * @param branch - A branch received from the platform or from a peer.
   * @returns Whether the branch was put in force.
   */
  applyIfNewer(branch: Branch): boolean {
    const current = this.#branches.get(branch.team);
    if (current && current.revision >= branch.revision) return false;
    this.#branches.set(branch.team, branch);
    this.#replaceAccounts(branch);
    this.#events.emit('applied', branch);
    return true;
  }

  /**
   * Registers a listener that is called with each branch that is put in force.
   *
   * @param listener - Receives the branch.
   */
  onApplied(listener: (branch: Branch) => void): void {
    this.#events.on('applied', listener);
  }

  /** Finds the branch in force of a team. */
  findBranch(team: string): Branch | undefined {
    return this.#branches.get(team);
  }

  /** Finds a client account by its name, in the branches of all teams. */
  findAccount(id: string): AccountInForce | undefined {
    return this.#accounts.get(id);
  }

  /**
   * Finds the model that a team serves under a name.
   *
   * @param team - The team's name.
   * @param name - The model name in the caller's request.
   * @returns The model with its version and adapter, if the team serves one under this name.
   */
  findServedModel(team: string, name: string): ServedModel | undefined {
    const models = this.#branches.get(team)?.settings.models ?? {};
    return Object.hasOwn(models, name) ? models[name] : undefined;
  }

  /**
   * Finds the settings of a plain service.
   *
   * @param team - The team's name.
   * @param name - The service's name.
   * @returns The settings, if the team has such a service.
   */
  findService(team: string, name: string): PlainService | undefined {
    const services = this.#branches.get(team)?.settings.services ?? {};
    return Object.hasOwn(services, name) ? services[name] : undefined;
  }

  /** Replaces the accounts of the branch's team with those in the branch. */
  #replaceAccounts(branch: Branch): void {
    this.#accounts.forEach((account, id) => {
      if (account.team === branch.team) this.#accounts.delete(id);
    });
    const { priority, accounts } = branch.settings;
    Object.entries(accounts).forEach(([id, account]) => {
      const current = this.#accounts.get(id);
      // An account in the branches of two teams belongs to the team whose name sorts first, so that
      // every instance decides alike.
      if (current && current.team < branch.team) return;
      this.#accounts.set(id, { id, team: branch.team, priority, account });
    });
  }
}
