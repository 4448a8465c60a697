/** The order that an owner gives a back end for a call. */
import type { CallClass } from '../model/call.js';
import type { BackEndRequest, Fence } from '../platform/back-end-port.js';
import { conversationOf } from './call-ticket.js';
import type { LiveCall } from './live-call.js';
import type { ProgramRecord } from './program-record.js';

/** Priorities of the classes at an engine; lower runs first. */
const PRIORITIES: Readonly<Record<CallClass, number>> = { urgent: 0, interactive: 1, batch: 2 };

/** Builds the order of a call that is next in its program. */
export function createEngineRequest(
  program: ProgramRecord,
  call: LiveCall,
  fence: Fence,
): BackEndRequest {
  const { request } = call;
  return {
    call: request.call,
    program: request.program,
    service: request.service,
    fence,
    messages: conversationOf(program, request),
    payload: request.payload,
    continueText: call.text,
    maximumTokens: request.maximumTokens,
    priority: PRIORITIES[request.callClass],
    lastOfProgram: request.endsProgram,
  };
}
