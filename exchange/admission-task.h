#ifndef EXCHANGE_ADMISSION_TASK_H
#define EXCHANGE_ADMISSION_TASK_H

#include "exchange/exchange.h"

struct admission_service;

bool admission_task_hold(struct exchange_request *x);
void admission_task_leave(struct exchange_request *x);
void admission_task_on_start(struct exchange_request *x);
struct admission_service *admission_task_on_end(struct exchange_request *x,
						bool refused);
void admission_task_on_room(struct admission_service *s);
void admission_task_tick(struct gateway_state *g, uint64_t now);

#endif
