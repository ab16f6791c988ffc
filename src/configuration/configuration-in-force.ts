/** The configuration that this instance has in force: the highest revision seen of each branch. */
import { EventEmitter } from 'node:events';
import type { Branch, ClientAccount, PlainService, ServedModel } from './branch.js';

/** An account with the team that it belongs to. */
export interface AccountInForce {
  readonly id: string;
  readonly team: string;
  readonly priority: number;
  readonly account: ClientAccount;
}

/** Holds the highest revision of each branch; an older one is never applied, whoever offers it. */
export class ConfigurationInForce {
  readonly #branches = new Map<string, Branch>();

  readonly #accounts = new Map<string, AccountInForce>();

  readonly #events = new EventEmitter();

  /** Whether any configuration is in force. */
  get isReady(): boolean {
    return this.#branches.size > 0;
  }

  /** Every branch, sorted by team. */
  get branches(): Branch[] {
    return [...this.#branches.values()].sort((one, other) => one.team.localeCompare(other.team));
  }

  /**
   * Offers a branch; it comes into force if its revision is higher than the one in force.
   *
   * @param branch - The branch offered, from the platform or a peer.
   * @returns Whether it came into force.
   */
  offer(branch: Branch): boolean {
    const current = this.#branches.get(branch.team);
    if (current && current.revision >= branch.revision) return false;
    this.#branches.set(branch.team, branch);
    this.#replaceAccounts(branch);
    this.#events.emit('applied', branch);
    return true;
  }

  /**
   * Calls back whenever a branch comes into force.
   *
   * @param listener - Gets the branch.
   */
  onApplied(listener: (branch: Branch) => void): void {
    this.#events.on('applied', listener);
  }

  /**
   * Reads a team's branch.
   *
   * @param team - The team's name.
   * @returns The branch, if one is in force.
   */
  branch(team: string): Branch | undefined {
    return this.#branches.get(team);
  }

  /**
   * Finds an account in whichever team's branch has it.
   *
   * @param id - The account's name.
   * @returns The account, if it is known.
   */
  account(id: string): AccountInForce | undefined {
    return this.#accounts.get(id);
  }

  /**
   * Finds what a team serves under a model name.
   *
   * @param team - The team's name.
   * @param name - The model name as callers write it.
   * @returns The model with version and adapter, if the team serves it.
   */
  servedModel(team: string, name: string): ServedModel | undefined {
    const models = this.#branches.get(team)?.settings.models ?? {};
    return Object.hasOwn(models, name) ? models[name] : undefined;
  }

  /**
   * Finds a plain service of a team.
   *
   * @param team - The team's name.
   * @param name - The service's name.
   * @returns The service's settings, if the team has it.
   */
  service(team: string, name: string): PlainService | undefined {
    const services = this.#branches.get(team)?.settings.services ?? {};
    return Object.hasOwn(services, name) ? services[name] : undefined;
  }

  #replaceAccounts(branch: Branch): void {
    this.#accounts.forEach((account, id) => {
      if (account.team === branch.team) this.#accounts.delete(id);
    });
    const { priority, accounts } = branch.settings;
    Object.entries(accounts).forEach(([id, account]) => {
      const current = this.#accounts.get(id);
      // An account named by two teams belongs to the first team by name, on every instance.
      if (current && current.team < branch.team) return;
      this.#accounts.set(id, { id, team: branch.team, priority, account });
    });
  }
}
