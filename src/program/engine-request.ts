/** Builds the requests that shard owners send to engines. */
import type { CallClass } from '../model/call.js';
import type { BackEndRequest, Fence } from '../platform/back-end-port.js';
import { conversationOf } from './call-ticket.js';
import type { LiveCall } from './live-call.js';
import type { ProgramRecord } from './program-record.js';

/** Engine priorities of the call classes; lower runs first. */
const PRIORITIES: Readonly<Record<CallClass, number>> = { urgent: 0, interactive: 1, batch: 2 };

/** Builds the engine request for a program's current call. */
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
