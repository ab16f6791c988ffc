/** The gRPC service between instances: its procedures and their message schemas. */
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

/** The schemas of request and answer of each procedure, by the procedure's name. */
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

/** The implementation of each procedure by an instance. */
export type ProcedureHandlers = {
  readonly [Name in ProcedureName]: (
    request: ProcedureRequest<Name>,
  ) => Promise<ProcedureAnswer<Name>> | ProcedureAnswer<Name>;
};

/** Returns the gRPC path of a procedure. */
export function getProcedurePath(name: ProcedureName): string {
  return `/sesamedyke.Peer/${name}`;
}

/** The gRPC service definition. Messages are encoded as MessagePack, without generated code. */
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
