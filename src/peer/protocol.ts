/** The remote procedures between instances: their names and messages. */
import type { ServiceDefinition } from '@grpc/grpc-js';
import type { z } from 'zod';
import {
  BorrowAnswer,
  BorrowMessage,
  ClaimAnswer,
  ClaimMessage,
  decodeMessage,
  encodeMessage,
  ExchangeMessage,
  OutcomeMessage,
  OutcomeQuery,
  ServiceCallMessage,
} from './messages.js';

/** Every procedure with the schemas of its request and answer. */
export const PROCEDURES = {
  exchange: { request: ExchangeMessage, answer: ExchangeMessage },
  claim: { request: ClaimMessage, answer: ClaimAnswer },
  spendTicket: { request: ServiceCallMessage, answer: OutcomeMessage },
  readOutcome: { request: OutcomeQuery, answer: OutcomeMessage },
  borrow: { request: BorrowMessage, answer: BorrowAnswer },
} as const;

export type ProcedureName = keyof typeof PROCEDURES;
export type ProcedureRequest<Name extends ProcedureName> = z.infer<
  (typeof PROCEDURES)[Name]['request']
>;
export type ProcedureAnswer<Name extends ProcedureName> = z.infer<
  (typeof PROCEDURES)[Name]['answer']
>;

/** The work of one instance behind each procedure. */
export type ProcedureHandlers = {
  readonly [Name in ProcedureName]: (
    request: ProcedureRequest<Name>,
  ) => Promise<ProcedureAnswer<Name>> | ProcedureAnswer<Name>;
};

/**
 * Names a procedure as gRPC does.
 *
 * @param name - The procedure.
 * @returns Its path.
 */
export function getProcedurePath(name: ProcedureName): string {
  return `/sesamedyke.Peer/${name}`;
}

/** The gRPC service; messages are MessagePack, so no generated code is needed. */
export const PEER_SERVICE: ServiceDefinition = Object.fromEntries(
  (Object.keys(PROCEDURES) as ProcedureName[]).map((name) => [
    name,
    {
      path: getProcedurePath(name),
      requestStream: false,
      responseStream: false,
      requestSerialize: encodeMessage,
      requestDeserialize: decodeMessage,
      responseSerialize: encodeMessage,
      responseDeserialize: decodeMessage,
    },
  ]),
);
