#include "statement/builtins.hpp"

#include <unordered_map>
#include <unordered_set>

namespace indigovane::statement {

namespace {

constexpr std::string_view kReads = R"(
abs acos acosd acosh ascii asin asind asinh atan atan2 atan2d atand atanh bit_count bit_length btrim cbrt ceil ceiling
char_length character_length chr concat concat_ws convert convert_from convert_to cos cosd cosh cot cotd decode degrees
div encode erf erfc exp factorial floor format gcd get_bit get_byte initcap lcm left length ln log log10 lower lpad ltrim
md5 min_scale mod normalize is_normalized numeric_inc octet_length overlay parse_ident pi position power pow quote_ident
quote_literal quote_nullable radians random regexp_count regexp_instr regexp_like regexp_match regexp_matches
regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right round rpad rtrim
scale set_bit set_byte sha224 sha256 sha384 sha512 sign sin sind sinh split_part sqrt starts_with
string_to_array string_to_table strpos substr substring tan tand tanh to_ascii to_hex translate trim_scale trunc unistr
upper width_bucket unicode like notlike ilike similar_escape similar_to_escape like_escape
age clock_timestamp current_date current_time current_timestamp date_bin date_part date_trunc extract isfinite
justify_days justify_hours justify_interval localtime localtimestamp make_date make_interval make_time make_timestamp
make_timestamptz now statement_timestamp timeofday timezone to_char to_date to_number to_timestamp
transaction_timestamp overlaps pg_sleep pg_sleep_for pg_sleep_until timestamp timestamptz date time timetz interval
enum_first enum_last enum_range
area box bound_box center circle diagonal diameter height isclosed isopen isparallel isperp ishorizontal isvertical
line lseg npoints path pclose point polygon popen radius slope width
abbrev broadcast family host hostmask inet_merge inet_same_family masklen netmask network set_masklen text trunc
macaddr8_set7bit
array_to_tsvector get_current_ts_config numnode plainto_tsquery phraseto_tsquery querytree setweight strip
to_tsquery to_tsvector json_to_tsvector jsonb_to_tsvector ts_delete ts_filter ts_headline ts_rank ts_rank_cd
tsquery_phrase tsvector_to_array websearch_to_tsquery ts_debug ts_lexize ts_parse ts_token_type
gen_random_uuid xmlcomment xmlconcat xmlagg xmlexists xml_is_well_formed xml_is_well_formed_document
xml_is_well_formed_content xpath xpath_exists xmlpi xmltext
to_json to_jsonb array_to_json row_to_json json_build_array jsonb_build_array json_build_object jsonb_build_object
json_object jsonb_object json_array_elements jsonb_array_elements json_array_elements_text jsonb_array_elements_text
json_array_length jsonb_array_length json_each jsonb_each json_each_text jsonb_each_text json_extract_path
jsonb_extract_path json_extract_path_text jsonb_extract_path_text json_object_keys jsonb_object_keys
json_populate_record jsonb_populate_record json_populate_recordset jsonb_populate_recordset json_to_record
jsonb_to_record json_to_recordset jsonb_to_recordset json_strip_nulls jsonb_strip_nulls jsonb_set jsonb_set_lax
jsonb_insert jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first
jsonb_path_exists_tz jsonb_path_match_tz jsonb_path_query_tz jsonb_path_query_array_tz jsonb_path_query_first_tz
jsonb_pretty json_typeof jsonb_typeof
array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions
array_prepend array_remove array_replace array_to_string array_upper cardinality trim_array unnest
isempty lower_inc upper_inc lower_inf upper_inf range_merge multirange int4range int8range numrange tsrange tstzrange
daterange int4multirange int8multirange nummultirange tsmultirange tstzmultirange datemultirange
array_agg avg bit_and bit_or bit_xor bool_and bool_or count every json_agg jsonb_agg json_object_agg jsonb_object_agg
max min range_agg range_intersect_agg string_agg sum corr covar_pop covar_samp regr_avgx regr_avgy regr_count
regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy stddev stddev_pop stddev_samp variance var_pop var_samp
mode percentile_cont percentile_disc rank dense_rank percent_rank cume_dist grouping row_number ntile lag lead
first_value last_value nth_value
generate_series generate_subscripts coalesce greatest least nullif num_nulls num_nonnulls
current_catalog current_database current_query current_role current_schema current_schemas current_user
inet_client_addr inet_client_port inet_server_addr inet_server_port pg_backend_pid pg_blocking_pids
pg_conf_load_time pg_is_other_temp_schema pg_jit_available pg_listening_channels pg_my_temp_schema
pg_notification_queue_usage pg_postmaster_start_time pg_safe_snapshot_blocking_pids pg_trigger_depth session_user
user version has_any_column_privilege has_column_privilege has_database_privilege has_foreign_data_wrapper_privilege
has_function_privilege has_language_privilege has_parameter_privilege has_schema_privilege has_sequence_privilege
has_server_privilege has_table_privilege has_tablespace_privilege has_type_privilege pg_has_role row_security_active
pg_collation_is_visible pg_conversion_is_visible pg_function_is_visible pg_opclass_is_visible pg_operator_is_visible
pg_opfamily_is_visible pg_statistics_obj_is_visible pg_table_is_visible pg_ts_config_is_visible pg_ts_dict_is_visible
pg_ts_parser_is_visible pg_ts_template_is_visible pg_type_is_visible format_type pg_char_to_encoding
pg_encoding_to_char pg_get_catalog_foreign_keys pg_get_constraintdef pg_get_expr pg_get_functiondef
pg_get_function_arguments pg_get_function_identity_arguments pg_get_function_result pg_get_indexdef pg_get_keywords
pg_get_ruledef pg_get_serial_sequence pg_get_statisticsobjdef pg_get_triggerdef pg_get_userbyid pg_get_viewdef
pg_index_column_has_property pg_index_has_property pg_indexam_has_property pg_options_to_table
pg_settings_get_flags pg_tablespace_databases pg_tablespace_location pg_typeof to_regclass to_regcollation
to_regnamespace to_regoper to_regoperator to_regproc to_regprocedure to_regrole to_regtype pg_describe_object
pg_identify_object pg_identify_object_as_address pg_get_object_address col_description obj_description
shobj_description age mxid_age pg_current_snapshot pg_snapshot_xip pg_snapshot_xmax pg_snapshot_xmin
pg_visible_in_snapshot pg_xact_commit_timestamp pg_xact_status pg_current_xact_id_if_assigned
txid_current_if_assigned txid_current_snapshot txid_snapshot_xip txid_snapshot_xmax txid_snapshot_xmin
txid_visible_in_snapshot txid_status current_setting pg_is_in_recovery pg_last_wal_receive_lsn
pg_last_wal_replay_lsn pg_last_xact_replay_timestamp pg_get_wal_replay_pause_state pg_is_wal_replay_paused
pg_wal_lsn_diff pg_column_compression pg_column_size pg_database_size pg_indexes_size pg_relation_size
pg_size_bytes pg_size_pretty pg_table_size pg_tablespace_size pg_total_relation_size pg_collation_actual_version
pg_database_collation_actual_version pg_relation_filenode pg_relation_filepath pg_filenode_relation
pg_partition_tree pg_partition_ancestors pg_partition_root pg_sequence_last_value
pg_stat_get_numscans pg_lock_status pg_cursor pg_prepared_statement pg_show_all_settings
bool int2 int4 int8 float4 float8 numeric varchar bpchar name char bytea json jsonb oid
textlen texteq int4eq int4pl int8pl hashtext hashint4 ascii pg_client_encoding getdatabaseencoding inet cidr
)";

// These change the state of the connection, which the next statement on it would see.
constexpr std::string_view kSession = R"(
set_config setseed pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock pg_try_advisory_lock_shared
pg_advisory_unlock pg_advisory_unlock_all pg_advisory_unlock_shared
)";

constexpr std::string_view kWrites = R"(
nextval setval pg_notify lo_creat lo_create lo_from_bytea lo_import lo_export lo_put lo_unlink lo_open lo_close lo_lseek
lo_lseek64 lo_truncate lo_truncate64 lowrite loread lo_get lo_tell lo_tell64
pg_advisory_xact_lock pg_advisory_xact_lock_shared pg_try_advisory_xact_lock pg_try_advisory_xact_lock_shared
pg_cancel_backend pg_terminate_backend pg_reload_conf pg_rotate_logfile pg_log_backend_memory_contexts
pg_create_restore_point pg_switch_wal pg_start_backup pg_stop_backup pg_backup_start pg_backup_stop pg_promote
pg_wal_replay_pause pg_wal_replay_resume pg_create_physical_replication_slot pg_drop_replication_slot
pg_create_logical_replication_slot pg_copy_physical_replication_slot pg_copy_logical_replication_slot
pg_logical_slot_get_changes pg_logical_slot_peek_changes pg_logical_slot_get_binary_changes
pg_logical_slot_peek_binary_changes pg_replication_slot_advance pg_replication_origin_create
pg_replication_origin_drop pg_replication_origin_session_setup pg_replication_origin_session_reset
pg_replication_origin_xact_setup pg_replication_origin_xact_reset pg_replication_origin_advance
pg_logical_emit_message pg_export_snapshot pg_current_xact_id txid_current pg_import_system_collations
brin_summarize_new_values brin_summarize_range brin_desummarize_range gin_clean_pending_list
pg_stat_reset pg_stat_reset_shared pg_stat_reset_single_table_counters pg_stat_reset_single_function_counters
pg_stat_reset_slru pg_stat_reset_replication_slot pg_stat_reset_subscription_stats pg_stat_clear_snapshot
pg_extension_config_dump pg_nextoid pg_rewrite_all
query_to_xml query_to_xml_and_xmlschema query_to_xmlschema cursor_to_xml cursor_to_xmlschema table_to_xml
table_to_xmlschema table_to_xml_and_xmlschema schema_to_xml schema_to_xmlschema schema_to_xml_and_xmlschema
database_to_xml database_to_xmlschema database_to_xml_and_xmlschema ts_stat ts_rewrite
pg_read_file pg_read_binary_file pg_ls_dir pg_ls_logdir pg_ls_waldir pg_ls_tmpdir pg_ls_archive_statusdir pg_stat_file
pg_file_write pg_file_rename pg_file_unlink pg_file_sync
)";

constexpr std::string_view kOpaque = R"(
query_to_xml query_to_xml_and_xmlschema query_to_xmlschema cursor_to_xml cursor_to_xmlschema table_to_xml
table_to_xmlschema table_to_xml_and_xmlschema schema_to_xml schema_to_xmlschema schema_to_xml_and_xmlschema
database_to_xml database_to_xmlschema database_to_xml_and_xmlschema ts_stat ts_rewrite
)";

constexpr std::string_view kAggregates = R"(
array_agg avg bit_and bit_or bit_xor bool_and bool_or count every json_agg jsonb_agg json_object_agg jsonb_object_agg
max min range_agg range_intersect_agg string_agg sum corr covar_pop covar_samp regr_avgx regr_avgy regr_count
regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy stddev stddev_pop stddev_samp variance var_pop var_samp
mode percentile_cont percentile_disc xmlagg
)";

constexpr std::string_view kOperators = R"(
= <> < > <= >= + - * / % ^ |/ ||/ @ & | # ~ << >> || ~* !~ !~* ~~ ~~* !~~ !~~* ~<~ ~<=~ ~>=~ ~>~ ^@ && @> <@ &< &> <<| |>>
&<| |&> ## <-> ?- ?| ?-| ?|| ?# @-@ @@ @@@ ~= <^ >^ -> ->> #> #>> ? ?& #- @? -|- !! << <<= >> >>= *= *<> *< *> *<= *>= !~
)";

constexpr std::string_view kTypes = R"(
bool bytea char name int8 int2 int4 int regproc text oid tid xid xid8 cid json jsonb jsonpath xml point lseg path box polygon line
float4 float8 money circle cidr inet macaddr macaddr8 bpchar varchar date time timestamp timestamptz interval timetz bit
varbit numeric refcursor regprocedure regoper regoperator regclass regcollation regtype regrole regnamespace regconfig
regdictionary uuid pg_lsn tsvector tsquery gtsvector int4range numrange tsrange tstzrange daterange int8range
int4multirange nummultirange tsmultirange tstzmultirange datemultirange int8multirange record void cstring unknown
txid_snapshot pg_snapshot decimal integer bigint smallint real
)";

// Splits at blanks and line ends.
std::unordered_set<std::string_view> split_words(std::string_view text) {
    std::unordered_set<std::string_view> words;
    while (!text.empty()) {
        std::size_t begin = text.find_first_not_of(" \n");
        if (begin == std::string_view::npos) break;
        text.remove_prefix(begin);
        std::size_t end = std::min(text.find_first_of(" \n"), text.size());
        words.insert(text.substr(0, end));
        text.remove_prefix(end);
    }
    return words;
}

// Built at the first use: a program that classifies no statements pays nothing for it.
const std::unordered_map<std::string_view, Effect>& function_effects() {
    static const auto effects = [] {
        std::unordered_map<std::string_view, Effect> effects_by_name;
        for (auto word : split_words(kReads)) effects_by_name[word] = Effect::reads;
        for (auto word : split_words(kSession)) effects_by_name[word] = Effect::session;
        for (auto word : split_words(kWrites)) effects_by_name[word] = Effect::writes;
        return effects_by_name;
    }();
    return effects;
}

}  // namespace

std::optional<Effect> builtin_function(std::string_view name) {
    auto it = function_effects().find(name);
    return it == function_effects().end() ? std::nullopt : std::optional(it->second);
}

bool builtin_aggregate(std::string_view name) {
    static const auto names = split_words(kAggregates);
    return names.count(name) > 0;
}

bool builtin_operator(std::string_view name) {
    static const auto names = split_words(kOperators);
    return names.count(name) > 0;
}

bool builtin_type(std::string_view name) {
    static const auto names = split_words(kTypes);
    return names.count(name) > 0;
}

bool opaque_function(std::string_view name) {
    static const auto names = split_words(kOpaque);
    return names.count(name) > 0;
}

}  // namespace indigovane::statement
