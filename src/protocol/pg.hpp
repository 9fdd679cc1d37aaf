// The parts of PostgreSQL's wire protocol, version 3, that simple queries need. No I/O.
#pragma once

#include "protocol/pg_messages.hpp"
#include "protocol/pg_statement.hpp"
#include "protocol/pg_text.hpp"
#include "protocol/pg_writer.hpp"
