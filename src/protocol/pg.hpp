// PostgreSQL's wire protocol, version 3, as far as simple queries need it. No I/O: bytes in, bytes out.
#pragma once

#include "protocol/pg_messages.hpp"
#include "protocol/pg_statement.hpp"
#include "protocol/pg_text.hpp"
#include "protocol/pg_writer.hpp"
